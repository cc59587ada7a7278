#include "gateway/endpoint_prober.hpp"

#include "gateway/endpoint_connection.hpp"
#include "node/control_loop.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <memory>
#include <utility>

namespace galenapulley
{

namespace
{

boost::asio::awaitable<void>
connect(std::shared_ptr<endpoint_connection> connection, std::string address,
        std::function<void(connection_result)> done)
{
    const auto result =
        co_await connection->connect(address, endpoint_prober::timeout);
    connection->cancel();
    done(result);
}

} // namespace

void endpoint_prober::probe(const std::string& address, result_callback done)
{
    auto report = [this, done = std::move(done)](connection_result result)
    {
        const bool connected = result == connection_result::done;
        control_.post([done, connected] { done(connected); });
    };
    boost::asio::co_spawn(
        traffic_,
        connect(std::make_shared<endpoint_connection>(traffic_), address,
                std::move(report)),
        boost::asio::detached);
}

} // namespace galenapulley
