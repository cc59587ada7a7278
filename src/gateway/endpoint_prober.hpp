#pragma once

#include "galenapulley/clock.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace galenapulley
{

class control_loop;

/// Checks whether an endpoint accepts connections. The connection is closed
/// without a request. Used on the control thread.
class endpoint_prober
{
public:
    using result_callback = std::function<void(bool connected)>;

    endpoint_prober(control_loop& control, boost::asio::io_context& traffic)
        : control_(control), traffic_(traffic)
    {
    }

    /// `done` runs on the control thread.
    void probe(const std::string& address, result_callback done);

    /// Longest time that a connection may take to be made.
    static constexpr msec timeout = 400;

private:
    control_loop& control_;
    boost::asio::io_context& traffic_;
};

} // namespace galenapulley
