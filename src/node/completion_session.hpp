#pragma once

#include "galenapulley/error_kind.hpp"
#include "galenapulley/permit.hpp"
#include "node/completion_request.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

class http_exchange;
class segmented_prefill;
class stream_relay;
struct granted_permit;
struct http_result;
struct service;
struct session_context;

/// Serves one completion request from admission to the end of the response.
/// Used on the control thread.
class completion_session
    : public std::enable_shared_from_this<completion_session>
{
public:
    completion_session(const session_context& context, std::uint64_t number,
                       completion_request request,
                       std::shared_ptr<http_exchange> exchange,
                       std::function<void()> on_ended);
    ~completion_session();

    void start();

private:
    /// A stream without data for this long counts as broken.
    static constexpr msec stall_timeout = 10'000_ms;
    static constexpr msec timeout_check_period = 250_ms;
    static constexpr msec probe_timeout = 500_ms;
    /// Share of the remaining time that an attempt may use to reach its first
    /// token, so that there is time for a retry.
    static constexpr int first_token_percent = 60;

    absl::Status admit();
    void request_permit();
    void on_permit(const absl::StatusOr<granted_permit>& permit);
    bool may_use(const granted_permit& permit) const;
    void start_segmented_prefill();
    void start_attempt();
    std::string attempt_body() const;
    /// Priority sent to the engines; 0 is the highest.
    std::size_t priority() const;
    void on_done(const std::string& attempt_id, const http_result& result);
    void on_failed_attempt(const http_result& result);
    bool try_resume(const http_result& result);
    void probe_back_end(const std::string& address);
    void report_crash();
    void retry_elsewhere(permit_outcome outcome);
    void check_timeouts();
    void on_stalled();
    void cancel_upstream();
    void release_permit(permit_outcome outcome);
    void succeed();
    void refuse(const absl::Status& status);
    void on_disconnect();
    void end();
    std::string back_end_address() const;
    msec time_left() const;

    const session_context& context_;
    std::uint64_t number_;
    completion_request request_;
    std::shared_ptr<http_exchange> exchange_;
    std::function<void()> on_ended_;

    std::shared_ptr<const service> service_;
    std::string customer_;
    std::size_t length_class_ = 0;
    std::uint64_t fingerprint_ = 0;
    msec started_ = 0;
    msec deadline_ = 0;

    std::shared_ptr<stream_relay> relay_;
    std::shared_ptr<segmented_prefill> prefill_;
    std::vector<permit_share> shares_;
    std::uint64_t permit_ = 0;
    bool has_permit_ = false;
    std::uint32_t attempts_ = 0;
    bool resumed_ = false;
    std::vector<std::string> excluded_;
    std::string attempt_id_;
    std::uint64_t attempt_number_ = 0;
    std::uint64_t call_id_ = 0;
    msec attempt_started_ = 0;
    msec first_token_deadline_ = 0;
    /// A back end may have executed the request, or a part of it.
    bool may_have_run_ = false;
    bool has_ended_ = false;
    std::uint64_t timeout_check_timer_ = 0;
};

} // namespace galenapulley
