#pragma once

#include <string>

namespace galenapulley
{

namespace wire
{
class peer_message;
}

/// Sends messages to other nodes; they may be lost.
class peer_link
{
public:
    virtual ~peer_link() = default;

    /// Sets the sender's fields of the message and sends it.
    virtual void send(const std::string& peer_address,
                      wire::peer_message message) = 0;
};

} // namespace galenapulley
