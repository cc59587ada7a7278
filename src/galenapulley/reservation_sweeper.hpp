#pragma once

#include "galenapulley/clock.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

/// A reservation as listed by an engine.
struct reservation
{
    /// Has the form <node>.<incarnation>.<request>.
    std::string id;
    std::uint32_t tokens = 0;
    msec age = 0;
    /// Time left until its deadline; negative once it has passed.
    msec deadline_left = 0;
};

/// The node process that made a reservation.
struct reservation_holder
{
    std::string node;
    std::int64_t incarnation = 0;

    auto operator<=>(const reservation_holder&) const = default;
};

/// Parses the holder from a reservation id; empty if the id is malformed.
std::optional<reservation_holder> holder_of(const std::string& id);

/// A query to a node which of the reservations it holds.
struct holder_query
{
    std::int64_t id = 0;
    std::string node;
    std::vector<std::string> reservations;
};

/// A reservation to release on an engine.
struct reservation_release
{
    std::string engine;
    std::string id;

    auto operator<=>(const reservation_release&) const = default;
};

struct sweep_actions
{
    std::vector<holder_query> queries;
    std::vector<reservation_release> releases;
    /// Nodes whose lease row should be read and passed to on_lease_read().
    std::vector<std::string> lease_reads;
};

/// Finds reservations at engines that no running request holds any more. Relies
/// on nodes recording a reservation before they make it, and never reusing an
/// id.
class reservation_sweeper
{
public:
    explicit reservation_sweeper(msec lease_ttl) : ttl_(lease_ttl) {}

    /// Processes the complete list of an engine's reservations.
    sweep_actions sweep(const std::string& engine,
                        const std::vector<reservation>& list, msec now);

    /// Processes a node's answer to a query. Returns the reservations that may
    /// be released now.
    sweep_actions on_holder_answer(std::int64_t query_id,
                                   const reservation_holder& from,
                                   const std::vector<std::string>& not_held,
                                   msec now);

    /// Records that the node is alive: gossip has a newer heartbeat of it, or
    /// it sent a message.
    void on_node_alive(const reservation_holder& from, msec now);

    /// Records a read of the node's lease row. `renewal` is -1 if it is absent.
    void on_lease_read(const reservation_holder& from, std::int64_t renewal,
                       msec now);

    /// Removes an engine that no longer belongs to this node's shards.
    void remove_engine(const std::string& engine);

private:
    struct listed_reservation
    {
        msec last_age = 0;
        msec deadline = 0;
        /// The first query about this reservation; 0 if there was none.
        std::int64_t first_query_id = 0;
        msec last_query_at = 0;
    };

    struct node_state
    {
        std::int64_t newest_incarnation = 0;
        msec last_heard = 0;
        bool lease_known = false;
        std::int64_t renewal = 0;
        /// First and last read of the lease row that returned `renewal`.
        msec unchanged_since = 0;
        msec last_read = 0;
    };

    using listed_reservations = std::map<std::string, listed_reservation>;

    void reset_after_pause(msec now);
    void merge(listed_reservations& listed,
               const std::vector<reservation>& list, msec now);
    bool is_orphan(const std::string& id, const listed_reservation& listed,
                   msec now) const;
    bool is_silent(const node_state& state, msec now) const;
    void collect_queries(listed_reservations& listed, sweep_actions& actions,
                         msec now);
    void collect_lease_reads(sweep_actions& actions, msec now) const;
    void remove_unused_nodes();

    msec ttl_;
    msec last_call_ = 0;
    bool called_ = false;
    std::int64_t last_query_id_ = 0;
    std::map<std::string, listed_reservations> engines_;
    std::map<std::string, node_state> nodes_;
};

} // namespace galenapulley
