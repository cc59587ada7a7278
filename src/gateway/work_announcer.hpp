#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/peer_link.hpp"
#include "peer.pb.h"

#include <functional>
#include <map>
#include <string>

namespace galenapulley
{

/// Sends the announcements of this node's work to the nodes that place
/// requests: the nodes of the serving set, and others as long as they announce
/// work themselves. Ends of requests are sent together with the next placement
/// or after a short delay, which saves most of their messages. Used on the
/// control thread.
class work_announcer
{
public:
    /// Returns all work of this node.
    using work_source = std::function<wire::work_update()>;

    work_announcer(peer_link& link, work_source all_work);

    /// Sets the live nodes of the serving set, other than this one, and their
    /// peer addresses.
    void set_serving(std::map<std::string, std::string> nodes);
    /// An update has arrived from a node.
    void on_update_from(const std::string& node,
                        const std::string& peer_address, msec now);

    void announce(const wire::work_update& update, msec now);
    /// Sends the delayed announcements. Returns whether any were waiting.
    bool flush(msec now);
    /// Sends all work of this node, which replaces what the others know. A
    /// standby without work sends nothing.
    void announce_all(bool is_serving, msec now);

    /// Longest delay of an announcement.
    static constexpr msec max_delay = 20;
    /// Time without updates after which a node that isn't in the serving set
    /// gets no more announcements; longer than the period of announce_all().
    static constexpr msec active_time = 5000;

private:
    struct active_node
    {
        std::string peer_address;
        msec heard_at = 0;
    };

    void send(const wire::work_update& update, msec now);
    void send_all_work(const std::string& peer_address);

    peer_link& link_;
    work_source all_work_;
    std::map<std::string, std::string> serving_;
    /// Nodes that have announced work lately.
    std::map<std::string, active_node> active_;
    wire::work_update delayed_;
    /// Whether the others know of work of this node.
    bool had_work_ = false;
};

} // namespace galenapulley
