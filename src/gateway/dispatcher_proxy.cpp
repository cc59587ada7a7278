#include "gateway/dispatcher_proxy.hpp"

#include "gateway/dispatcher.hpp"
#include "node/control_loop.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace galenapulley
{

dispatcher_proxy::dispatcher_proxy(control_loop& control, dispatcher& target,
                                   boost::asio::io_context& traffic)
    : control_(control), dispatcher_(target), traffic_(traffic)
{
}

void dispatcher_proxy::request(dispatch_request item, result_callback done)
{
    auto reply = [this, done = std::move(done)](dispatch_result result)
    {
        boost::asio::post(traffic_, [done, result = std::move(result)]() mutable
                          { done(std::move(result)); });
    };
    control_.post([this, item = std::move(item), reply = std::move(reply)]
                  { dispatcher_.request(item, reply); });
}

void dispatcher_proxy::cancel(std::uint64_t id)
{
    control_.post([this, id] { dispatcher_.cancel(id); });
}

void dispatcher_proxy::request_pause(std::string service,
                                     std::function<void(msec)> done)
{
    control_.post(
        [this, service = std::move(service), done = std::move(done)]
        {
            const auto left = dispatcher_.pause_of(service);
            boost::asio::post(traffic_, [done, left] { done(left); });
        });
}

void dispatcher_proxy::on_pause(endpoint_key key, msec retry_after, msec at)
{
    if (dispatcher_.announcements().record_pause(key, retry_after, at))
        control_.post([this, key]
                      { dispatcher_.on_recorded(key, {.pause = true}); });
}

const endpoint_announcements& dispatcher_proxy::announcements() const
{
    return dispatcher_.announcements();
}

void dispatcher_proxy::on_first_token(std::uint64_t id)
{
    control_.post([this, id] { dispatcher_.on_first_token(id); });
}

void dispatcher_proxy::on_sound(std::uint64_t id)
{
    control_.post([this, id] { dispatcher_.on_sound(id); });
}

void dispatcher_proxy::on_announcement(endpoint_key key,
                                       const endpoint_announcement& announced,
                                       msec at)
{
    const auto changes = dispatcher_.announcements().record(key, announced, at);
    if (changes.any())
        control_.post([this, key, changes]
                      { dispatcher_.on_recorded(key, changes); });
}

void dispatcher_proxy::on_finished(std::uint64_t id,
                                   const attempt_result& result)
{
    control_.post([this, id, result] { dispatcher_.on_finished(id, result); });
}

} // namespace galenapulley
