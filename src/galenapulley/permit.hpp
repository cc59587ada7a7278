#pragma once

#include "galenapulley/clock.hpp"
#include "galenapulley/error_kind.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace galenapulley
{

/// Identifies a permit by the node process that requested it and that process's
/// request number.
struct permit_key
{
    std::string node;
    std::int64_t incarnation = 0;
    std::uint64_t request = 0;

    // False positive on the defaulted comparison.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const permit_key&) const = default;
};

/// A node's request for a permit to the owner of a shard.
struct permit_query
{
    permit_key key;
    std::string customer;
    std::size_t length_class = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    /// On the owner's clock.
    msec deadline = 0;
    std::uint64_t fingerprint = 0;
    /// Prefix hash for cache affinity; 0 if none.
    std::uint64_t prefix = 0;
    /// Back ends that already failed this request.
    std::vector<std::string> excluded;
    bool is_retry = false;
};

/// Share of a request that one back end runs.
struct permit_share
{
    std::string back_end;
    std::uint32_t tokens = 0;
};

enum class permit_state
{
    granted,
    queued,
    refused
};

/// The shard owner's decision.
struct permit_decision
{
    permit_key key;
    permit_state state = permit_state::refused;
    /// More than one if the prompt is segmented over several engines.
    std::vector<permit_share> shares;
    error_kind refusal = error_kind::overloaded;
    msec retry_after = 0;
};

enum class permit_outcome
{
    completed,
    cancelled,
    failed,
    /// The connection to the back end could not be opened or was lost while the
    /// request ran.
    crashed,
    /// The permit was never used.
    unused
};

/// How a permit ended.
struct permit_result
{
    permit_outcome outcome = permit_outcome::completed;
    /// Time to first token; 0 if there was none.
    msec first_token = 0;
    std::uint32_t output_tokens = 0;
    std::string failed_back_end;
};

} // namespace galenapulley
