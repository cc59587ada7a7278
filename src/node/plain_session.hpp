#pragma once

#include "galenapulley/action_record.hpp"
#include "galenapulley/error_kind.hpp"
#include "galenapulley/permit.hpp"
#include "node/http_server.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

struct begin_result;
struct granted_permit;
struct http_result;
struct plain_route;
struct service;
struct session_context;

/// Serves one request to a plain service. Non-idempotent requests go through
/// the action ledger. Used on the control thread.
class plain_session : public std::enable_shared_from_this<plain_session>
{
public:
    plain_session(const session_context& context, std::uint64_t number,
                  std::string service_name, std::string route_path,
                  http_request request, std::shared_ptr<http_exchange> exchange,
                  std::function<void()> on_ended);

    void start();

private:
    absl::Status admit();
    void begin_action();
    void on_action_begun(const begin_result& result);
    void request_permit();
    void on_permit(const absl::StatusOr<granted_permit>& permit);
    void send();
    void on_done(const http_result& result);
    /// Sends the response once the ledger has recorded it, or could not record
    /// it in time.
    void record(http_response out);
    void on_not_sent();
    void on_outcome_unknown(const http_result& result);
    /// Ends a non-idempotent request that a back end may have run.
    void end_as_unknown(const std::string& message);
    /// Refuses a request that has no attempt in progress. A non-idempotent one
    /// has not been sent to any back end, and is recorded as not run.
    void refuse_unsent(const absl::Status& status);
    void respond(http_response out);
    void refuse(const absl::Status& status,
                std::optional<execution> ran = std::nullopt);
    void release_permit(permit_outcome outcome);
    void on_disconnect();
    void end();
    msec time_left() const;

    const session_context& context_;
    std::uint64_t number_;
    std::string service_name_;
    std::string path_;
    http_request request_;
    std::shared_ptr<http_exchange> exchange_;
    std::function<void()> on_ended_;

    std::shared_ptr<const service> service_;
    const plain_route* route_ = nullptr;
    action_key key_;
    std::string attempt_id_;
    /// The ledger has a started row for attempt_id_.
    bool action_started_ = false;
    /// A back end may have executed the request.
    bool may_have_run_ = false;
    msec deadline_ = 0;
    std::uint32_t attempts_ = 0;
    std::vector<std::string> excluded_;
    std::string back_end_;
    std::uint64_t permit_ = 0;
    bool has_permit_ = false;
    std::uint64_t call_id_ = 0;
    bool has_ended_ = false;
};

} // namespace galenapulley
