#include "galenapulley/json_reader.hpp"

#include "galenapulley/error_kind.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace galenapulley
{

namespace
{

using nlohmann::json;

constexpr std::size_t max_listed_errors = 10;
constexpr std::size_t max_value_chars = 60;
constexpr std::size_t max_name_chars = 64;
constexpr std::size_t max_path_chars = 256;
// Documents have 3 levels; the limit bounds recursion over a parsed value.
constexpr int max_depth = 8;
constexpr std::size_t max_list_items = 10'000;

bool is_alphanumeric(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_chars &&
           std::all_of(text.begin(), text.end(),
                       [](char c) {
                           return is_alphanumeric(c) || c == '.' || c == '_' ||
                                  c == '-';
                       });
}

bool is_port(std::string_view text)
{
    unsigned port = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, port);
    return ec == std::errc() && stop == end && text.front() != '0' &&
           port <= 65535;
}

bool is_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_port(text.substr(colon + 1)))
        return false;
    std::string host(text.substr(0, colon));
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    if (host.find('\0') != std::string::npos)
        return false;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(),
                         buf.data()) == 1;
    return inet_pton(AF_INET, host.c_str(), buf.data()) == 1;
}

bool is_sha256(std::string_view text)
{
    return text.size() == 64 &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool is_path(std::string_view text)
{
    return !text.empty() && text.size() <= max_path_chars &&
           text.front() == '/' &&
           std::all_of(text.begin(), text.end(),
                       [](char c)
                       { return c > ' ' && c < 127 && c != '?' && c != '#'; });
}

std::string format_value(const json& value)
{
    if (value.is_object())
        return "an object";
    if (value.is_array())
        return "a list of " + std::to_string(value.size());
    // Non-ASCII characters are escaped, so truncation can't split one.
    auto text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > max_value_chars)
        text = text.substr(0, max_value_chars) + "...";
    return text;
}

std::string position(std::string_view text, std::size_t byte)
{
    const auto before = text.substr(0, byte == 0 ? 0 : byte - 1);
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto newline = before.rfind('\n');
    const auto column = newline == std::string_view::npos
                            ? before.size() + 1
                            : before.size() - newline;
    return "line " + std::to_string(line) + ", column " +
           std::to_string(column);
}

/// Parser callback that finds duplicate keys and excessive nesting, which the
/// parser itself accepts.
class structure_check
{
public:
    bool operator()(int depth, json::parse_event_t event, json& parsed)
    {
        if (event == json::parse_event_t::object_start)
            keys_.emplace_back();
        if (event == json::parse_event_t::object_end && !keys_.empty())
            keys_.pop_back();
        if (event == json::parse_event_t::key && !keys_.empty() &&
            !keys_.back().insert(parsed.get<std::string>()).second)
            error = "duplicate key " + format_value(parsed);
        if (depth > max_depth)
            error = "nested more than " + std::to_string(max_depth) +
                    " levels deep";
        return true;
    }

    std::string error;

private:
    std::vector<std::set<std::string>> keys_;
};

std::string integer_range(std::uint32_t low, std::uint32_t high)
{
    return "an integer from " + std::to_string(low) + " to " +
           std::to_string(high);
}

} // namespace

const text_rule name_rule{is_name, "1 to 64 letters, digits, '.', '_' or '-'"};
const text_rule address_rule{is_address,
                             "an IP address and port such as 127.0.0.1:9001"};
const text_rule sha256_rule{is_sha256, "64 lower-case hexadecimal digits"};
const text_rule path_rule{is_path,
                          "a path that begins with '/', without spaces, '?' or "
                          "'#', of at most 256 characters"};

void validation_errors::add(std::string_view path, const json& value,
                            std::string_view allowed)
{
    add_line(std::string(path) + ": " + format_value(value) +
             " is not allowed; allowed: " + std::string(allowed));
}

void validation_errors::add_missing(std::string_view path,
                                    std::string_view allowed)
{
    add_line(std::string(path) + ": missing; allowed: " + std::string(allowed));
}

void validation_errors::add_line(std::string line)
{
    ++count_;
    if (lines_.size() < max_listed_errors)
        lines_.push_back(std::move(line));
}

absl::Status validation_errors::status(std::string_view document_kind) const
{
    if (count_ == 0)
        return absl::OkStatus();
    auto message = std::string(document_kind) + " is not valid: ";
    for (std::size_t n = 0; n < lines_.size(); ++n)
        message += (n == 0 ? "" : "; ") + lines_[n];
    if (count_ > lines_.size())
        message += "; and " + std::to_string(count_ - lines_.size()) + " more";
    return make_error(error_kind::invalid_document, message);
}

absl::StatusOr<json> parse_json(std::string_view text,
                                std::string_view document_kind)
{
    const auto fail = [&](const std::string& reason)
    {
        return make_error(error_kind::invalid_document,
                          std::string(document_kind) +
                              " is not valid JSON: " + reason);
    };
    structure_check check;
    json parsed;
    try
    {
        parsed = json::parse(text, std::ref(check));
    }
    catch (const json::parse_error& e)
    {
        return fail("syntax error at " + position(text, e.byte));
    }
    catch (const json::exception& e)
    {
        return fail(e.what());
    }
    if (!check.error.empty())
        return fail(check.error);
    return parsed;
}

object_reader::object_reader(const json& value, std::string path,
                             validation_errors& errors)
    : value_(value), path_(std::move(path)), errors_(errors)
{
    if (!value_.is_object())
        errors_.add(path_.empty() ? "document" : path_, value_, "an object");
}

const json* object_reader::field(const char* key)
{
    read_keys_.insert(key);
    if (!value_.is_object())
        return nullptr;
    const auto it = value_.find(key);
    return it == value_.end() ? nullptr : &*it;
}

std::string object_reader::text(const char* key, const text_rule& rule,
                                const std::optional<std::string>& fallback)
{
    const auto* value = field(key);
    if (value == nullptr)
    {
        if (!fallback && value_.is_object())
            errors_.add_missing(path_of(key), rule.allowed);
        return fallback.value_or("");
    }
    if (value->is_string() &&
        rule.matches(value->get_ref<const std::string&>()))
        return value->get<std::string>();
    errors_.add(path_of(key), *value, rule.allowed);
    return {};
}

std::string object_reader::choice(const char* key,
                                  std::span<const std::string_view> allowed,
                                  const std::optional<std::string>& fallback)
{
    std::string list = "one of";
    for (const auto it : allowed)
        list += " " + std::string(it);
    const text_rule any{[](std::string_view) { return true; }, list};
    const auto is_text = !has(key) || value_[key].is_string();
    auto picked = text(key, any, fallback);
    const auto known = std::find(allowed.begin(), allowed.end(), picked);
    if (is_text && has(key) && known == allowed.end())
        errors_.add(path_of(key), picked, list);
    return picked;
}

std::uint32_t object_reader::number(const char* key, std::uint32_t low,
                                    std::uint32_t high,
                                    std::optional<std::uint32_t> fallback)
{
    const auto* value = field(key);
    if (value == nullptr)
    {
        if (!fallback && value_.is_object())
            errors_.add_missing(path_of(key), integer_range(low, high));
        return fallback.value_or(low);
    }
    if (value->is_number_unsigned())
    {
        const auto n = value->get<std::uint64_t>();
        if (n >= low && n <= high)
            return static_cast<std::uint32_t>(n);
    }
    errors_.add(path_of(key), *value, integer_range(low, high));
    return low;
}

double object_reader::decimal(const char* key, double low, double high,
                              std::optional<double> fallback)
{
    const auto* value = field(key);
    const auto allowed =
        "a number from " + std::to_string(low) + " to " + std::to_string(high);
    if (value == nullptr)
    {
        if (!fallback && value_.is_object())
            errors_.add_missing(path_of(key), allowed);
        return fallback.value_or(low);
    }
    if (value->is_number())
    {
        const auto n = value->get<double>();
        if (n >= low && n <= high)
            return n;
    }
    errors_.add(path_of(key), *value, allowed);
    return low;
}

bool object_reader::flag(const char* key, std::optional<bool> fallback)
{
    const auto* value = field(key);
    if (value != nullptr && value->is_boolean())
        return value->get<bool>();
    if (value != nullptr)
        errors_.add(path_of(key), *value, "true or false");
    else if (!fallback && value_.is_object())
        errors_.add_missing(path_of(key), "true or false");
    return fallback.value_or(false);
}

const json* object_reader::array(const char* key, bool required)
{
    const auto* value = field(key);
    if (value == nullptr)
    {
        if (required && value_.is_object())
            errors_.add_missing(path_of(key), "a list");
        return nullptr;
    }
    if (value->is_array() && value->size() <= max_list_items)
        return value;
    errors_.add(path_of(key), *value,
                "a list of at most " + std::to_string(max_list_items));
    return nullptr;
}

std::vector<std::string>
object_reader::names(const char* key, const text_rule& rule, bool required)
{
    std::vector<std::string> items;
    std::set<std::string> seen;
    const auto* list = array(key, required);
    for (std::size_t n = 0; list != nullptr && n < list->size(); ++n)
    {
        const auto& it = (*list)[n];
        if (!it.is_string() || !rule.matches(it.get_ref<const std::string&>()))
            errors_.add(element_path(key, n), it, rule.allowed);
        else if (!seen.insert(it.get<std::string>()).second)
            errors_.add(element_path(key, n), it, "each value once");
        else
            items.push_back(it.get<std::string>());
    }
    return items;
}

bool object_reader::has(const char* key) const
{
    return value_.is_object() && value_.contains(key);
}

std::string object_reader::path_of(std::string_view key) const
{
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

std::string object_reader::element_path(std::string_view key,
                                        std::size_t n) const
{
    return path_of(key) + "[" + std::to_string(n) + "]";
}

void object_reader::finish()
{
    if (!value_.is_object())
        return;
    for (const auto& [key, value] : value_.items())
    {
        if (read_keys_.count(key) != 0)
            continue;
        std::string allowed = "only the fields";
        for (const auto& it : read_keys_)
            allowed += " " + it;
        errors_.add(path_of(key.substr(0, max_name_chars)), value, allowed);
    }
}

} // namespace galenapulley
