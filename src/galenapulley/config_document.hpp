#pragma once

#include "galenapulley/table_service.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

namespace wire
{
class document;
}

constexpr std::string_view services_prefix = "services/";
constexpr std::string_view fleet_row = "fleet";
constexpr std::string_view config_head_row = "config_head";

/// A service or fleet document with its version. Its name is the key of its
/// row, its version the version of that row.
struct config_document
{
    std::string name;
    std::int64_t version = 0;
    std::string change_id;
    /// JSON text; empty for a deleted document (tombstone).
    std::string body;

    bool deleted() const { return body.empty(); }
    bool operator==(const config_document&) const = default;
};

struct document_version
{
    std::string name;
    std::int64_t version = 0;

    bool operator==(const document_version&) const = default;
};

/// What a row holds: the document and the ids of the changes before its own.
struct stored_document
{
    config_document document;
    /// Newest first, bounded. They identify a repeated change after a later
    /// change has replaced it.
    std::vector<std::string> earlier_change_ids;

    bool contains_change(const std::string& change_id) const;
};

/// The newest change of one document.
struct document_change
{
    std::string name;
    std::string change_id;
};

/// Value of the row config_head: the newest change of every document, so that
/// a reader loads only those rows that it lacks.
struct head_record
{
    std::vector<document_change> changes;

    /// Replaces the document's entry.
    void note(const document_change& change);
};

std::string encode_head(const head_record& head);
/// An absent row gives an empty record; none if the row does not list the
/// documents.
std::optional<head_record> decode_head(const table_row& row);

/// Row key of a service's document.
std::string service_row(std::string_view service_name);

/// Row value for a document that replaces `former`.
std::string encode_row(const stored_document& former,
                       const std::string& change_id, const std::string& body);
/// An absent row gives a document with version 0.
absl::StatusOr<stored_document> decode_row(const table_row& row);

wire::document to_wire(const config_document& document);
config_document from_wire(const wire::document& message);

} // namespace galenapulley
