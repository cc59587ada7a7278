#pragma once

#include "galenapulley/clock.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

/// Condition on the value of a text field, and its description for errors.
struct text_rule
{
    bool (*matches)(std::string_view text);
    std::string_view allowed;
};

/// Letters, digits, '.', '_' and '-'. Names are parts of row keys and shard
/// ids, whose separator is '/'.
extern const text_rule name_rule;
extern const text_rule address_rule;
extern const text_rule sha256_rule;
extern const text_rule path_rule;

/// Validation errors of one document, in the order of detection.
class validation_errors
{
public:
    void add(std::string_view path, const nlohmann::json& value,
             std::string_view allowed);
    void add_missing(std::string_view path, std::string_view allowed);

    bool empty() const { return count_ == 0; }
    /// Status `invalid_document` with up to 10 errors; OK if there are none.
    absl::Status status(std::string_view document_kind) const;

private:
    void add_line(std::string line);

    std::vector<std::string> lines_;
    std::size_t count_ = 0;
};

/// Parses JSON text. Also rejects duplicate keys and deep nesting, which the
/// JSON library accepts. Syntax errors state line and column.
absl::StatusOr<nlohmann::json> parse_json(std::string_view text,
                                          std::string_view document_kind);

/// Reads and validates the fields of one JSON object and adds every error to a
/// list. After an error, a read function returns a placeholder, so that reading
/// goes on and all errors are reported together.
class object_reader
{
public:
    object_reader(const nlohmann::json& value, std::string path,
                  validation_errors& errors);

    std::string text(const char* key, const text_rule& rule,
                     const std::optional<std::string>& fallback = {});
    std::string choice(const char* key,
                       std::span<const std::string_view> allowed,
                       const std::optional<std::string>& fallback = {});
    std::uint32_t number(const char* key, std::uint32_t low, std::uint32_t high,
                         std::optional<std::uint32_t> fallback = {});
    double decimal(const char* key, double low, double high,
                   std::optional<double> fallback = {});
    bool flag(const char* key, std::optional<bool> fallback = {});
    std::vector<std::string> names(const char* key, const text_rule& rule,
                                   bool required);

    /// Reads a list of objects; `read(object_reader&)` returns one element.
    template <typename Item, typename Read>
    std::vector<Item> objects(const char* key, bool required, Read read)
    {
        std::vector<Item> items;
        const auto* list = array(key, required);
        for (std::size_t n = 0; list != nullptr && n < list->size(); ++n)
        {
            object_reader reader((*list)[n], element_path(key, n), errors_);
            items.push_back(read(reader));
            reader.finish();
        }
        return items;
    }

    bool has(const char* key) const;
    std::string path_of(std::string_view key) const;
    std::string element_path(std::string_view key, std::size_t n) const;
    validation_errors& errors() { return errors_; }
    /// Reports the fields that were not read as unknown.
    void finish();

private:
    const nlohmann::json* field(const char* key);
    const nlohmann::json* array(const char* key, bool required);

    const nlohmann::json& value_;
    std::string path_;
    validation_errors& errors_;
    std::set<std::string> read_keys_;
};

} // namespace galenapulley
