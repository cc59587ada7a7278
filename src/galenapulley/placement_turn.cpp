#include "galenapulley/placement_turn.hpp"

namespace galenapulley
{

namespace
{

/// Rounding errors of sums of tokens must not skip a request that just fits.
constexpr double rounding_tokens = 1;

} // namespace

bool placement_turn::visit()
{
    if (visits_ == limits_.visits)
        return false;
    ++visits_;
    return true;
}

placement_turn::decision placement_turn::decide(const placement_need& need)
{
    const auto room = rooms_.find({need.table, need.service});
    if (room != rooms_.end() &&
        (room->second < 0 || (!need.is_distributed &&
                              need.tokens > room->second + rounding_tokens)))
        return decision::skip;
    auto& used = need.is_split ? split_attempts_ : attempts_;
    if (used == (need.is_split ? limits_.split_attempts : limits_.attempts))
        return decision::postpone;
    ++used;
    return decision::attempt;
}

void placement_turn::on_room(const placement_need& need, double tokens)
{
    rooms_.insert_or_assign({need.table, need.service}, tokens);
}

} // namespace galenapulley
