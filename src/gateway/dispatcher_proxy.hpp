#pragma once

#include "galenapulley/endpoint_announcements.hpp"
#include "gateway/dispatch_request.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace galenapulley
{

class control_loop;
class dispatcher;

/// Forwards calls from the traffic thread to the dispatcher on the control
/// thread.
class dispatcher_proxy
{
public:
    using result_callback = std::function<void(dispatch_result)>;

    dispatcher_proxy(control_loop& control, dispatcher& target,
                     boost::asio::io_context& traffic);

    /// `done` runs on the traffic thread, also after cancel().
    void request(dispatch_request item, result_callback done);
    void cancel(std::uint64_t id);
    /// Reports the time until an endpoint of the service wants requests, 0 if
    /// one does now. `done` runs on the traffic thread.
    void request_pause(std::string service, std::function<void(msec)> done);
    void on_first_token(std::uint64_t id);
    void on_sound(std::uint64_t id);
    /// The head of a response of the endpoint has arrived. It counts for this
    /// node's requests at once.
    void on_announcement(endpoint_key key,
                         const endpoint_announcement& announced, msec at);
    /// The same for a response that tells no more than the pause.
    void on_pause(endpoint_key key, msec retry_after, msec at);
    const endpoint_announcements& announcements() const;
    void on_finished(std::uint64_t id, const attempt_result& result);

private:
    control_loop& control_;
    dispatcher& dispatcher_;
    boost::asio::io_context& traffic_;
};

} // namespace galenapulley
