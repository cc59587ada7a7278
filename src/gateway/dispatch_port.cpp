#include "gateway/dispatch_port.hpp"

#include "gateway/dispatcher.hpp"
#include "node/control_loop.hpp"

#include <boost/asio/post.hpp>

#include <utility>

namespace galenapulley
{

dispatch_port::dispatch_port(control_loop& control, dispatcher& target,
                             boost::asio::io_context& traffic)
    : control_(control), target_(target), traffic_(traffic)
{
}

void dispatch_port::request(dispatch_request item, result_callback done)
{
    auto back = [this, done = std::move(done)](dispatch_result result)
    {
        boost::asio::post(traffic_, [done, result = std::move(result)]() mutable
                          { done(std::move(result)); });
    };
    control_.post([this, item = std::move(item), back = std::move(back)]
                  { target_.request(item, back); });
}

void dispatch_port::cancel(std::uint64_t id)
{
    control_.post([this, id] { target_.cancel(id); });
}

void dispatch_port::on_first_token(std::uint64_t id)
{
    control_.post([this, id] { target_.on_first_token(id); });
}

void dispatch_port::on_finished(std::uint64_t id, attempt_outcome outcome,
                                endpoint_key at_fault)
{
    control_.post([this, id, outcome, at_fault]
                  { target_.on_finished(id, outcome, at_fault); });
}

} // namespace galenapulley
