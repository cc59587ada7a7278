#pragma once

#include "galenapulley/back_end.hpp"
#include "galenapulley/customer.hpp"
#include "galenapulley/length_class.hpp"
#include "galenapulley/plain_route.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace galenapulley
{

enum class service_kind
{
    model,
    plain
};

/// A service as described by its team's document.
struct service
{
    std::string name;
    std::string team;
    service_kind kind = service_kind::model;
    std::vector<std::string> models;
    std::uint32_t max_prompt_tokens = 1'000'000;
    std::uint32_t max_output_tokens = 4096;
    std::string placement = "size_interval";
    std::uint32_t shards_per_zone = 1;
    std::vector<customer> customers;
    std::vector<back_end> back_ends;
    /// Ordered by length; the last one covers max_prompt_tokens.
    std::vector<length_class> classes;
    std::vector<plain_route> routes;

    const customer* find_customer(const std::string& customer_name) const;
    const customer* find_customer_by_token(const std::string& sha256) const;
    const back_end* find_back_end(const std::string& back_end_name) const;
    const plain_route* find_route(const std::string& method,
                                  const std::string& path) const;
    /// Index of the length class of a prompt.
    std::size_t class_for(std::uint32_t prompt_tokens) const;
    /// Id of the shard that the back end belongs to: service/zone/number.
    std::string shard_of(const back_end& target) const;
    /// Ids of all shards, sorted and unique.
    std::vector<std::string> shards() const;
};

/// Estimates the length of a prompt in tokens; 5 MB are about a million tokens.
std::uint32_t estimate_tokens(std::size_t prompt_bytes);

/// Zone part of a shard id; empty if the id is malformed.
std::string zone_of_shard(const std::string& shard);
/// Service part of a shard id.
std::string service_of_shard(const std::string& shard);

} // namespace galenapulley
