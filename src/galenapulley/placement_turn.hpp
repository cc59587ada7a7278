#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace galenapulley
{

/// What a waiting request needs of the endpoints of its service.
struct placement_need
{
    /// Identifies the configuration that describes the service.
    const void* table = nullptr;
    std::string service{};
    /// Tokens of memory.
    double tokens = 0;
    /// Its placement weighs splits over several endpoints, which takes longer.
    bool is_split = false;
    /// Its memory may be distributed over several endpoints.
    bool is_distributed = false;
};

/// Most work of one turn, so that the event loop isn't blocked however many
/// requests wait.
struct placement_turn_limits
{
    std::size_t attempts = 16;
    std::size_t split_attempts = 4;
    std::size_t visits = 256;
};

/// One turn of placing waiting requests in their order: decides which of them
/// to try. Room only shrinks within a turn, so requests that need more than the
/// room that a failed attempt has found are skipped.
class placement_turn
{
public:
    enum class decision
    {
        attempt,
        /// Its placement would fail.
        skip,
        /// The attempts are used up; a later turn has to try it.
        postpone
    };

    explicit placement_turn(placement_turn_limits limits) : limits_(limits) {}

    /// Counts a visit; false if the turn has to end before it.
    bool visit();
    /// Counts the attempt if it is to be made.
    decision decide(const placement_need& need);
    /// An attempt failed, and no endpoint has room for more than `tokens`;
    /// negative if none has a free slot.
    void on_room(const placement_need& need, double tokens);

    std::size_t attempts() const { return attempts_ + split_attempts_; }

private:
    placement_turn_limits limits_;
    std::size_t visits_ = 0;
    std::size_t attempts_ = 0;
    std::size_t split_attempts_ = 0;
    /// Most tokens that an endpoint has room for, by table and service.
    std::map<std::pair<const void*, std::string>, double> rooms_;
};

} // namespace galenapulley
