#pragma once

#include "gateway/dispatch_request.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <optional>

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
    void on_first_token(std::uint64_t id);
    void on_sound(std::uint64_t id);
    void on_rate_limit(endpoint_key key, std::optional<double> per_second);
    void on_finished(std::uint64_t id, const attempt_result& result);

private:
    control_loop& control_;
    dispatcher& dispatcher_;
    boost::asio::io_context& traffic_;
};

} // namespace galenapulley
