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

/// A service document or the fleet document. Its name is the key of its row in
/// the table service, its version the version of that row.
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

/// Content of a row: the document and the ids of the changes before it.
struct stored_document
{
    config_document document;
    /// Newest first, bounded. A retried change is recognized by its id even
    /// after a later change has replaced the document.
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
/// a reader loads only the rows that have changed.
struct head_record
{
    std::vector<document_change> changes;

    /// Adds or replaces the entry of the change's document.
    void set_newest(const document_change& change);
};

std::string encode_head(const head_record& head);
/// Returns an empty record for an absent row, and nothing if the row does not
/// list the documents.
std::optional<head_record> decode_head(const table_row& row);

/// Row key of a service's document.
std::string service_row(std::string_view service_name);

/// Row value for a document that replaces `previous`, the stored one.
std::string encode_row(const stored_document& previous,
                       const std::string& change_id, const std::string& body);
/// Returns a document with version 0 for an absent row.
absl::StatusOr<stored_document> decode_row(const table_row& row);

wire::document to_wire(const config_document& document);
config_document from_wire(const wire::document& message);

} // namespace galenapulley
