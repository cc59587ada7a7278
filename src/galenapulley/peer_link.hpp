#pragma once

#include <string>

namespace galenapulley
{

namespace wire
{
class peer_message;
}

/// Sends messages to other nodes. Delivery is not guaranteed.
class peer_link
{
public:
    virtual ~peer_link() = default;

    /// Fills in the sender's fields and sends the message to the node's peer
    /// address.
    virtual void send(const std::string& peer_address,
                      wire::peer_message message) = 0;
};

} // namespace galenapulley
