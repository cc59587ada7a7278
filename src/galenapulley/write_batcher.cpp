#include "galenapulley/write_batcher.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace galenapulley
{

write_batcher::write_batcher(const clock& time, table_service& table,
                             limits bounds)
    : time_(time), table_(table), limits_(bounds)
{
}

void write_batcher::add(std::string key, std::int64_t version,
                        std::string value, callback done)
{
    queue_.push_back({.key = std::move(key),
                      .version = version,
                      .value = std::move(value),
                      .done = std::move(done),
                      .added = time_.now(),
                      .alone = false});
    if (queue_.size() >= limits_.max_writes)
        send(take_batch());
}

void write_batcher::tick()
{
    while (!queue_.empty() &&
           (queue_.front().added + limits_.window <= time_.now() ||
            queue_.size() >= limits_.max_writes))
        send(take_batch());
}

std::optional<msec> write_batcher::next_due() const
{
    if (queue_.empty())
        return std::nullopt;
    return queue_.front().added + limits_.window;
}

write_batcher::batch write_batcher::take_batch()
{
    batch entries;
    std::deque<entry> rest;
    const auto fits = [&](const entry& candidate)
    {
        if (entries.empty())
            return true;
        if (candidate.alone || entries.front().alone ||
            entries.size() >= limits_.max_writes)
            return false;
        // Two writes of one row can't share a transaction.
        return std::none_of(entries.begin(), entries.end(),
                            [&](const entry& it)
                            { return it.key == candidate.key; });
    };
    for (auto& it : queue_)
    {
        if (fits(it))
            entries.push_back(std::move(it));
        else
            rest.push_back(std::move(it));
    }
    queue_ = std::move(rest);
    return entries;
}

void write_batcher::send(batch entries)
{
    table_transaction transaction;
    for (const auto& it : entries)
    {
        transaction.conditions.push_back({it.key, it.version});
        transaction.writes.push_back({it.key, it.value});
    }
    auto shared = std::make_shared<batch>(std::move(entries));
    table_.commit(
        transaction, limits_.store_timeout,
        [this, shared, guard = std::weak_ptr(alive_)](const auto& result)
        {
            if (guard.lock())
                on_commit(*shared, result);
        });
}

void write_batcher::on_commit(batch& entries, const commit_result& result)
{
    if (result.state == commit_state::conflict && entries.size() > 1)
    {
        split(entries, result.conflict);
        return;
    }
    for (auto& it : entries)
    {
        const auto version = result.versions.find(it.key);
        const auto known = version != result.versions.end();
        const auto state = result.state == commit_state::committed && !known
                               ? commit_state::unknown
                               : result.state;
        it.done(state, known ? version->second : 0);
    }
}

void write_batcher::split(batch& entries, const std::string& conflict)
{
    const auto named =
        std::find_if(entries.begin(), entries.end(),
                     [&](const entry& it) { return it.key == conflict; });
    callback conflicted;
    if (named == entries.end())
        for (auto& it : entries)
            it.alone = true;
    else
    {
        conflicted = std::move(named->done);
        entries.erase(named);
    }
    // Marks the remaining writes as due, so the tick below sends them.
    for (auto& it : entries)
        it.added = std::min(it.added, time_.now() - limits_.window);
    queue_.insert(queue_.begin(), std::make_move_iterator(entries.begin()),
                  std::make_move_iterator(entries.end()));
    tick();
    if (conflicted)
        conflicted(commit_state::conflict, 0);
}

} // namespace galenapulley
