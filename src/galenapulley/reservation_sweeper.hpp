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

/// A reservation as an engine lists it.
struct reservation
{
    /// <node>.<incarnation>.<request>
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

/// Holder part of a reservation id; none if the id is not of that form.
std::optional<reservation_holder> holder_of(const std::string& id);

/// A question to a node whether it holds reservations.
struct holder_question
{
    std::int64_t query = 0;
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
    std::vector<holder_question> questions;
    std::vector<reservation_release> releases;
    /// Nodes whose lease row should be read and reported by lease_seen.
    std::vector<std::string> lease_reads;
};

/// Finds reservations on engines that no live request holds. Relies on nodes
/// noting a reservation before they make it, and never reusing an id.
class reservation_sweeper
{
public:
    explicit reservation_sweeper(msec lease_ttl) : ttl_(lease_ttl) {}

    /// Takes an engine's complete list and decides.
    sweep_actions sweep(const std::string& engine,
                        const std::vector<reservation>& list, msec now);

    /// A node process answered a question. Returns what may be released now.
    sweep_actions holder_answered(std::int64_t query,
                                  const reservation_holder& from,
                                  const std::vector<std::string>& not_held,
                                  msec now);

    /// Gossip brought a newer heartbeat of the node, or it sent a message.
    void heard(const reservation_holder& from, msec now);

    /// The node's lease row was read. `renewal` is -1 for an absent row.
    void lease_seen(const reservation_holder& from, std::int64_t renewal,
                    msec now);

    /// Forgets an engine that is no longer in this node's shards.
    void forget(const std::string& engine);

private:
    struct sighting
    {
        msec last_age = 0;
        msec deadline = 0;
        /// The first question about it since it was seen; 0 if none.
        std::int64_t first_query = 0;
        msec last_asked = 0;
    };

    struct node_facts
    {
        std::int64_t newest_incarnation = 0;
        msec heard = 0;
        bool lease_known = false;
        std::int64_t renewal = 0;
        /// Of the lease row: first and last read that showed `renewal`.
        msec unchanged_since = 0;
        msec last_read = 0;
    };

    using engine_sightings = std::map<std::string, sighting>;

    void note_pause(msec now);
    void merge(engine_sightings& seen, const std::vector<reservation>& list,
               msec now);
    bool is_orphan(const std::string& id, const sighting& seen, msec now) const;
    bool is_silent(const node_facts& facts, msec now) const;
    void collect_questions(engine_sightings& seen, sweep_actions& actions,
                           msec now);
    void collect_lease_reads(sweep_actions& actions, msec now) const;
    void forget_idle_nodes();

    msec ttl_;
    msec last_call_ = 0;
    bool called_ = false;
    std::int64_t last_query_ = 0;
    std::map<std::string, engine_sightings> engines_;
    std::map<std::string, node_facts> nodes_;
};

} // namespace galenapulley
