#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/config_document.hpp"

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenapulley
{

class config_change;
class config_registry;
class config_sync;
class config_writer;
class counters;
class membership;
class peer_link;

namespace wire
{
class peer_message;
}

/// Outcome of a change that the table service has committed.
struct change_outcome
{
    config_document document;
    /// Other nodes known to hold the document.
    std::size_t holders = 0;
    /// Held by enough nodes to survive the loss of the store.
    bool accepted = false;
};

/// Executes configuration changes and exchanges documents with peers.
class config_manager
{
public:
    using done_callback = std::function<void(absl::StatusOr<change_outcome>)>;

    struct dependencies
    {
        const clock& time;
        config_registry& registry;
        config_sync& sync;
        config_writer& writer;
        membership& members;
        peer_link& peers;
        counters& counts;
    };

    config_manager(std::string zone, dependencies deps);

    void execute(const std::shared_ptr<const config_change>& change,
                 const std::string& change_id, done_callback done);
    void on_message(const wire::peer_message& message, bool settled);
    /// Handles the document version and digest from a peer's gossip, and
    /// requests the peer's documents if they may differ.
    void on_peer_config(const std::string& from, std::int64_t head,
                        std::uint64_t digest);
    /// Call it about every 100 ms.
    void tick();

private:
    /// Longest time to wait for acknowledgements by peers. A change that too
    /// few have acknowledged by then is reported as committed, not accepted.
    static constexpr msec ack_timeout = 3000_ms;
    static constexpr msec push_period = 500_ms;
    static constexpr std::size_t min_holders = 2;
    static constexpr std::size_t max_direct_pushes = 32;

    struct pending_change
    {
        config_document document;
        std::set<std::string> holders;
        msec deadline = 0;
        msec next_push_at = 0;
        done_callback done;
    };

    void on_committed(const absl::StatusOr<config_document>& result,
                      const done_callback& done);
    void push(const pending_change& change);
    bool has_enough_holders(const pending_change& change) const;
    void add_holder(const std::string& node, const std::string& name,
                    std::int64_t version);
    void send_to(const std::string& node, const wire::peer_message& message);

    std::string zone_;
    dependencies deps_;
    std::vector<pending_change> pending_;
    msec next_snapshot_request_ = 0;
};

} // namespace galenapulley
