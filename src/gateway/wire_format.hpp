#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/error_kind.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace galenapulley
{

/// Header lines in the order and spelling in which they arrived.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// What a client's request says of itself.
struct request_facts
{
    /// The client's id of this attempt; logs name requests by it.
    std::string attempt;
    /// How long the client waits.
    std::optional<msec> deadline{};
    std::string api_key{};
    double prompt_tokens = 0;
    double max_output_tokens = 0;
    /// The client's own estimate, right at the median.
    std::optional<double> expected_output_tokens{};
    /// The client has the stream's events up to this one.
    std::optional<std::uint64_t> last_event{};
};

/// What the system tells an endpoint beside the client's own headers.
struct endpoint_facts
{
    std::string endpoint;
    std::string account;
    msec time_left = 0;
    /// The stream goes on after this event.
    std::optional<std::uint64_t> last_event{};
    /// Addresses, each with the memory reservation to use there, if any, that
    /// read parts of the prompt.
    std::vector<std::pair<std::string, std::string>> helpers{};
};

/// What the head of an endpoint's answer says beside its status.
struct answer_facts
{
    std::string attempt;
    /// The endpoint states that it has not run the request.
    bool not_run = false;
    /// Another endpoint has the address now.
    bool replaced = false;
    /// Carries the endpoint's signature.
    bool sealed = false;
    /// Address or id of another endpoint whose fault the refusal is.
    std::string at_fault{};
};

/// Sets memory aside at an endpoint, prolongs that, or gives it back.
struct memory_order
{
    std::string reservation;
    /// 0 to give the memory back.
    double tokens = 0;
    /// Time from its arrival after which the endpoint takes the memory back.
    msec hold = 0;
    /// Id and address of the endpoint.
    std::string endpoint;
    std::string address;
};

enum class order_answer
{
    done,
    /// The endpoint states that it hasn't done it.
    refused,
    /// It may have been done, or may yet be.
    unclear
};

constexpr std::size_t order_answer_count =
    static_cast<std::size_t>(order_answer::unclear) + 1;

struct directory_query
{
    std::string host;
    std::string region;
    std::string failure_domain;
};

/// The names and encodings that clients and endpoints use.
class wire_format
{
public:
    virtual ~wire_format() = default;

    virtual absl::StatusOr<request_facts>
    read_request(const header_list& headers) const = 0;
    /// The headers for an endpoint: the client's, without those that concern
    /// one connection or are the system's own to set, and the system's.
    virtual header_list endpoint_headers(const header_list& client,
                                         const endpoint_facts& facts) const = 0;
    virtual answer_facts read_answer(int status,
                                     const header_list& headers) const = 0;

    /// The whole request that gives the order to its endpoint.
    virtual std::string order_text(const memory_order& order) const = 0;
    virtual order_answer read_order_answer(int status) const = 0;

    /// The status of an answer of the system's own.
    virtual int status_of(error_kind kind) const = 0;

    virtual bool is_ready_check(std::string_view target) const = 0;
    /// Absent if the target is no question for addresses.
    virtual std::optional<directory_query>
    read_directory_query(std::string_view target) const = 0;
    virtual std::string
    directory_answer(const std::vector<std::string>& addresses,
                     msec valid) const = 0;
};

} // namespace galenapulley
