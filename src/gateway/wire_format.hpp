#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/endpoint_announcement.hpp"
#include "galenapulley/error_kind.hpp"
#include "galenapulley/prompt_part.hpp"
#include "http/header_list.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

/// Metadata in the headers of a client's request.
struct request_metadata
{
    /// The client's id of this attempt, which identifies the request in logs.
    std::string attempt;
    /// How long the client waits for the response.
    std::optional<msec> deadline{};
    std::string api_key{};
    double prompt_tokens = 0;
    double max_output_tokens = 0;
    /// The client's own estimate of the median.
    std::optional<double> expected_output_tokens{};
    /// The parts of the prompt that other requests may share, in order.
    std::vector<prompt_part> shared_parts{};
    /// Id of the last event of the stream that the client has received.
    std::optional<std::uint64_t> last_event{};
    /// Set if another node has handed the request over: the attempts that may
    /// have started it there.
    std::optional<std::uint32_t> relayed_runs{};
};

/// What the gateway sends to an endpoint beside the client's own headers.
struct forwarding_metadata
{
    std::string endpoint;
    std::string account;
    msec time_left = 0;
    /// The stream continues after the event with this id.
    std::optional<std::uint64_t> last_event{};
    /// Addresses of the helpers that prefill segments of the prompt, each with
    /// the memory reservation to use there, if any.
    std::vector<std::pair<std::string, std::string>> helpers{};
};

/// What a node that hands a request over to another one adds to it.
struct relay_metadata
{
    msec time_left = 0;
    /// Attempts that may have started the request.
    std::uint32_t runs = 0;
    /// The last event that the client has received of a stream.
    std::optional<std::uint64_t> last_event{};
};

/// Metadata in the headers and status of an endpoint's response.
struct response_metadata
{
    std::string attempt;
    /// The endpoint states that it has not run the request.
    bool not_run = false;
    /// Another endpoint now has the address.
    bool replaced = false;
    /// The response has the endpoint's signature.
    bool is_signed = false;
    /// Address or id of another endpoint that caused the refusal.
    std::string at_fault{};
    endpoint_announcement announcement{};
};

/// Reserves memory at an endpoint, renews the reservation, or releases it.
struct memory_order
{
    std::string reservation;
    /// 0 to release the memory.
    double tokens = 0;
    /// Duration of the reservation, from the arrival of the order.
    msec ttl = 0;
    /// Id and address of the endpoint.
    std::string endpoint;
    std::string address;
};

enum class order_result
{
    done,
    /// The endpoint states that it has not carried out the order.
    refused,
    /// The order may have been carried out, or may still be.
    unclear
};

constexpr std::size_t order_result_count =
    static_cast<std::size_t>(order_result::unclear) + 1;

struct directory_query
{
    std::string host;
    std::string region;
    std::string failure_domain;
};

/// Header names and encodings that clients and endpoints use.
class wire_format
{
public:
    virtual ~wire_format() = default;

    virtual absl::StatusOr<request_metadata>
    read_request(const header_list& headers) const = 0;
    /// The headers for an endpoint: the client's, without those that apply to
    /// one connection or are reserved for the gateway, and the gateway's own.
    virtual header_list
    endpoint_headers(const header_list& client,
                     const forwarding_metadata& metadata) const = 0;
    /// The headers for another node that takes the request over: the client's,
    /// without those that apply to one connection, and `metadata`'s.
    virtual header_list relay_headers(const header_list& client,
                                      const relay_metadata& metadata) const = 0;
    virtual response_metadata
    read_response(int status, const header_list& headers) const = 0;

    /// The complete HTTP request that sends the order to its endpoint.
    virtual std::string order_text(const memory_order& order) const = 0;
    virtual order_result read_order_response(int status) const = 0;

    /// The HTTP status of an error response of the gateway.
    virtual int status_of(error_kind kind) const = 0;

    virtual bool is_ready_check(std::string_view target) const = 0;
    /// Absent if the target is not a directory query.
    virtual std::optional<directory_query>
    read_directory_query(std::string_view target) const = 0;
    virtual std::string
    directory_response(const std::vector<std::string>& addresses,
                       msec ttl) const = 0;
};

} // namespace galenapulley
