#pragma once

#include "galenapulley/config_document.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenapulley
{

struct fleet;
struct service;

/// The configuration documents in force on this node. The version of a
/// document never decreases.
class config_registry
{
public:
    using change_callback = std::function<void(const config_document&)>;

    config_registry();

    /// Puts the document into force if its version is higher than the current
    /// one. Returns whether it did; fails if the document does not parse.
    absl::StatusOr<bool> apply(const config_document& document);

    /// Returns null for an unknown or deleted service.
    std::shared_ptr<const service> find_service(const std::string& name) const;
    std::vector<std::shared_ptr<const service>> services() const;
    /// Never null; an empty fleet document withdraws nothing.
    std::shared_ptr<const fleet> current_fleet() const { return fleet_; }

    /// Returns the document or its tombstone; null if there is neither.
    const config_document* find(const std::string& document_name) const;
    /// Returns 0 if there is neither a document nor a tombstone.
    std::int64_t version_of(const std::string& document_name) const;

    /// Hash of all (name, version) pairs.
    std::uint64_t digest() const { return digest_; }
    std::vector<document_version> versions() const;
    /// Documents and tombstones with a higher version than in `known`, or
    /// absent from it.
    std::vector<config_document>
    newer_than(const std::vector<document_version>& known) const;

    /// Adds a callback that runs after each document that comes into force.
    void on_change(change_callback callback);

private:
    absl::Status parse(const config_document& document);
    void update_digest();

    std::map<std::string, config_document> documents_;
    std::map<std::string, std::shared_ptr<const service>> services_;
    std::shared_ptr<const fleet> fleet_;
    std::uint64_t digest_ = 0;
    std::vector<change_callback> callbacks_;
};

} // namespace galenapulley
