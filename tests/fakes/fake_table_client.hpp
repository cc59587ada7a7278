#pragma once

#include "galenapulley/table_service.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace galenapulley::fakes
{

/// Fault injected into one operation.
enum class fault
{
    none,
    /// The operation takes effect, but its response is lost.
    lost_response,
    /// The operation doesn't reach the store.
    lost_request,
    /// The caller gets no response; apply_late() applies the commit.
    late,
    refused,
    /// Reported as a conflict of the first condition, without effect.
    conflict
};

/// Maps a number to a fault other than `none`.
inline fault random_fault(std::size_t n)
{
    constexpr auto count = static_cast<std::size_t>(fault::conflict);
    return static_cast<fault>(1 + n % count);
}

/// The rows, shared by all clients.
struct table_store
{
    std::map<std::string, table_row> rows;
    std::int64_t last_version = 0;
    std::uint64_t commits = 0;

    table_row read(const std::string& key) const
    {
        const auto it = rows.find(key);
        return it == rows.end()
                   ? table_row{.key = key, .version = 0, .value = {}}
                   : it->second;
    }

    commit_result commit(const table_transaction& transaction)
    {
        for (const auto& it : transaction.conditions)
            if (read(it.key).version != it.version)
                return {.state = commit_state::conflict,
                        .conflict = it.key,
                        .versions = {}};
        ++commits;
        commit_result result{
            .state = commit_state::committed, .conflict = {}, .versions = {}};
        for (const auto& it : transaction.writes)
        {
            rows.erase(it.key);
            if (!it.value)
                continue;
            rows[it.key] = {it.key, ++last_version, *it.value};
            result.versions[it.key] = last_version;
        }
        return result;
    }
};

/// A client of the store. Operations are queued until the test applies them and
/// delivers their responses.
class fake_table_client final : public table_service
{
public:
    explicit fake_table_client(table_store& store) : store_(store) {}

    void read(const std::string& key, msec /*timeout*/,
              read_callback done) override
    {
        push(
            [this, key, done](fault what) -> response_callback
            {
                if (what != fault::none)
                    return [done]
                    {
                        done(absl::UnavailableError("fault"));
                    };
                return [done, row = store_.read(key)]
                {
                    done(row);
                };
            });
    }

    void scan(const std::string& prefix, msec /*timeout*/,
              scan_callback done) override
    {
        push(
            [this, prefix, done](fault what) -> response_callback
            {
                if (what != fault::none)
                    return [done]
                    {
                        done(absl::UnavailableError("fault"));
                    };
                std::vector<table_row> found;
                for (const auto& [key, row] : store_.rows)
                    if (key.compare(0, prefix.size(), prefix) == 0)
                        found.push_back(row);
                return [done, found]
                {
                    done(found);
                };
            });
    }

    void commit(const table_transaction& transaction, msec /*timeout*/,
                commit_callback done) override
    {
        push([this, transaction, done](fault what) -> response_callback
             { return run_commit(transaction, done, what); });
    }

    std::size_t pending() const { return operations_.size(); }

    /// Applies the oldest operation that has not been applied yet.
    bool apply(fault what = fault::none)
    {
        for (auto& it : operations_)
        {
            if (it.response)
                continue;
            it.response = it.effect(outage ? fault::lost_request : what);
            return true;
        }
        return false;
    }

    /// Delivers the response to the oldest operation, if it has been applied.
    bool deliver()
    {
        if (operations_.empty() || !operations_.front().response)
            return false;
        const auto response = std::move(operations_.front().response);
        operations_.pop_front();
        response();
        return true;
    }

    /// Applies all operations and delivers their responses, including those of
    /// new operations.
    void run(fault first = fault::none)
    {
        while (apply(std::exchange(first, fault::none)) || deliver())
        {
        }
    }

    /// Applies the commits that were run with fault::late.
    void apply_late()
    {
        for (const auto& it : std::exchange(late_, {}))
            store_.commit(it);
    }

    /// While set, every operation has fault::lost_request.
    bool outage = false;

private:
    using response_callback = std::function<void()>;
    struct operation
    {
        std::function<response_callback(fault)> effect;
        response_callback response;
    };

    void push(std::function<response_callback(fault)> effect)
    {
        operations_.push_back({.effect = std::move(effect), .response = {}});
    }

    response_callback run_commit(const table_transaction& transaction,
                                 const commit_callback& done, fault what)
    {
        commit_result result;
        if (what == fault::none)
            result = store_.commit(transaction);
        else if (what == fault::lost_response)
            store_.commit(transaction);
        else if (what == fault::late)
            late_.push_back(transaction);
        else if (what == fault::refused)
            result.state = commit_state::refused;
        else if (what == fault::conflict)
            result = {.state = commit_state::conflict,
                      .conflict = transaction.conditions.empty()
                                      ? std::string()
                                      : transaction.conditions.front().key,
                      .versions = {}};
        return [done, result]
        {
            done(result);
        };
    }

    table_store& store_;
    std::deque<operation> operations_;
    std::vector<table_transaction> late_;
};

} // namespace galenapulley::fakes
