#pragma once

#include "galenapulley/clock.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace galenapulley
{

/// Decides which nodes of a failure domain follow the store themselves. It
/// answers a cluster of many nodes in which each change of a table would cost
/// a call of every node: few follow the store and relay what changes, and the
/// others follow it only while they hear none of these.
class watch_duty
{
public:
    explicit watch_duty(std::string node);

    /// The live nodes of the own failure domain, without this one.
    void set_domain_nodes(const std::vector<std::string>& nodes);
    /// A node has told that it follows the store and gets answers.
    void on_beat(const std::string& node, msec now);

    /// Whether this node relays to its failure domain.
    bool is_relay() const { return is_relay_; }
    /// Whether this node follows the store itself.
    bool must_watch(msec now) const;

    /// Nodes of each failure domain that follow the store; the second one goes
    /// on without a pause when the first one dies.
    static constexpr std::size_t relays_per_domain = 2;
    /// Time between two beats.
    static constexpr msec beat_period = 300;
    /// Silence after which a node follows the store itself: three beats, and
    /// short against the time in which changes have to be in force.
    static constexpr msec beat_silence = 900;

private:
    std::string node_;
    bool is_relay_ = true;
    std::map<std::string, msec> heard_at_;
};

} // namespace galenapulley
