#pragma once

#include "galenapulley/table_service.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace galenapulley
{

/// Fault injected into one call.
enum class table_fault
{
    none,
    /// The call fails without effect or response.
    outage,
    /// A commit takes effect, but its response is lost.
    lost_response,
    /// The response to a commit is lost, and the commit takes effect only in
    /// run_late_effects(), if its conditions still hold then.
    late_effect,
    /// A commit is rejected by the rate limit.
    refused,
    /// A read or scan returns the second newest version of each row.
    stale
};

/// In-memory table service. Calls are queued until the test runs them, in any
/// order; a call takes effect when it is run.
class fake_table_service final : public table_service
{
public:
    void read(const std::string& key, msec, read_callback done) override
    {
        calls_.push_back({.name = "read " + key,
                          .run = [=, this](table_fault fault)
                          {
                              if (fault == table_fault::none ||
                                  fault == table_fault::stale)
                                  done(row(key, fault));
                              else
                                  done(absl::UnavailableError("outage"));
                          }});
    }

    void scan(const std::string& prefix, msec, scan_callback done) override
    {
        calls_.push_back({.name = "scan " + prefix,
                          .run = [=, this](table_fault fault)
                          {
                              if (fault == table_fault::none ||
                                  fault == table_fault::stale)
                                  done(rows(prefix, fault));
                              else
                                  done(absl::UnavailableError("outage"));
                          }});
    }

    void commit(const table_transaction& transaction, msec,
                commit_callback done) override
    {
        calls_.push_back({.name = "commit",
                          .run = [=, this](table_fault fault)
                          {
                              run_commit(transaction, fault, done);
                          }});
    }

    /// Sets the faults of the next calls in the order in which they are run.
    /// Further calls have the fault set by set_fault().
    void set_next_faults(std::deque<table_fault> faults)
    {
        next_faults_ = std::move(faults);
    }
    void set_fault(table_fault fault) { fault_ = fault; }

    std::size_t pending() const { return calls_.size(); }
    std::size_t calls_run() const { return calls_run_; }
    const std::string& call_name(std::size_t n) const { return calls_[n].name; }

    void run(std::size_t n = 0)
    {
        const auto it = calls_.begin() + static_cast<std::ptrdiff_t>(n);
        const auto taken = std::move(*it);
        calls_.erase(it);
        auto fault = fault_;
        if (!next_faults_.empty())
        {
            fault = next_faults_.front();
            next_faults_.pop_front();
        }
        ++calls_run_;
        taken.run(fault);
    }

    void run_all()
    {
        while (!calls_.empty())
            run();
    }

    /// Applies the commits that were run with table_fault::late_effect.
    void run_late_effects()
    {
        for (const auto& it : std::exchange(late_, {}))
            apply(it);
    }

    /// Writes a row outside any transaction and returns its version.
    std::int64_t put(const std::string& key, const std::string& value)
    {
        auto& versions = history_[key];
        versions.push_back(value);
        return static_cast<std::int64_t>(versions.size());
    }

    /// All values of the row so far; version n is element n - 1.
    const std::vector<std::string>& history(const std::string& key)
    {
        return history_[key];
    }

private:
    struct pending_call
    {
        std::string name;
        std::function<void(table_fault)> run;
    };

    table_row row(const std::string& key, table_fault fault)
    {
        const auto& versions = history_[key];
        auto n = versions.size();
        if (fault == table_fault::stale && n > 1)
            --n;
        return {.key = key,
                .version = static_cast<std::int64_t>(n),
                .value = n == 0 ? "" : versions[n - 1]};
    }

    std::vector<table_row> rows(const std::string& prefix, table_fault fault)
    {
        std::vector<table_row> found;
        for (const auto& [key, versions] : history_)
            if (key.rfind(prefix, 0) == 0 && !versions.empty())
                found.push_back(row(key, fault));
        return found;
    }

    commit_result apply(const table_transaction& transaction)
    {
        commit_result result;
        for (const auto& it : transaction.conditions)
        {
            if (row(it.key, table_fault::none).version == it.version)
                continue;
            result.state = commit_state::conflict;
            result.conflict = it.key;
            return result;
        }
        for (const auto& it : transaction.writes)
            result.versions[it.key] = put(it.key, it.value.value_or(""));
        result.state = commit_state::committed;
        return result;
    }

    void run_commit(const table_transaction& transaction, table_fault fault,
                    const commit_callback& done)
    {
        commit_result result;
        switch (fault)
        {
        case table_fault::outage:
            break;
        case table_fault::refused:
            result.state = commit_state::refused;
            break;
        case table_fault::late_effect:
            late_.push_back(transaction);
            break;
        case table_fault::lost_response:
            apply(transaction);
            break;
        case table_fault::none:
        case table_fault::stale:
            result = apply(transaction);
            break;
        }
        done(result);
    }

    std::map<std::string, std::vector<std::string>> history_;
    std::deque<pending_call> calls_;
    std::vector<table_transaction> late_;
    std::deque<table_fault> next_faults_;
    table_fault fault_ = table_fault::none;
    std::size_t calls_run_ = 0;
};

} // namespace galenapulley
