#include "node/completion_fields.hpp"

#include "galenapulley/error_kind.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <utility>

namespace galenapulley
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t max_max_tokens = 1'000'000;
/// How much of an unknown field's name an error message quotes.
constexpr std::size_t quoted_bytes = 64;

/// A field and the values that it may have.
struct field_rule
{
    std::string_view name;
    std::string_view allowed;
    bool is_required;
    bool (*is_valid)(const json& value);
};

constexpr std::array<field_rule, 4> field_rules{{
    {"model", "a string", true,
     [](const json& it)
     {
         return it.is_string();
     }},
    {"prompt", "a string that is not empty", true,
     [](const json& it)
     {
         return it.is_string() && !it.get_ref<const std::string&>().empty();
     }},
    {"stream", "true or false", false,
     [](const json& it)
     {
         return it.is_boolean();
     }},
    {"max_tokens", "a number from 1 to 1000000", false,
     [](const json& it)
     {
         return it.is_number_unsigned() && it.get<std::uint64_t>() > 0 &&
                it.get<std::uint64_t>() <= max_max_tokens;
     }},
}};

const field_rule* find_rule(std::string_view name)
{
    const auto* const it =
        std::find_if(field_rules.begin(), field_rules.end(),
                     [&](const auto& rule) { return rule.name == name; });
    return it == field_rules.end() ? nullptr : it;
}

absl::Status bad_field(const field_rule& rule)
{
    return make_error(error_kind::bad_request, std::string(rule.name) +
                                                   ": must be " +
                                                   std::string(rule.allowed));
}

/// Collects the fields of an object without nested values.
class field_collector final : public nlohmann::json_sax<json>
{
public:
    json fields = json::object();
    /// Why parsing was stopped; OK if the text is malformed.
    absl::Status failure;

    bool null() override { return set(nullptr); }
    bool boolean(bool value) override { return set(value); }
    bool number_integer(number_integer_t value) override { return set(value); }
    bool number_unsigned(number_unsigned_t value) override
    {
        return set(value);
    }
    bool number_float(number_float_t value, const string_t&) override
    {
        return set(value);
    }
    bool string(string_t& value) override { return set(std::move(value)); }
    bool binary(binary_t&) override { return false; }

    bool start_object(std::size_t) override
    {
        return std::exchange(is_inside_, true) ? set_nested() : true;
    }
    bool end_object() override { return true; }
    bool start_array(std::size_t) override
    {
        return is_inside_ && set_nested();
    }
    bool end_array() override { return true; }

    bool key(string_t& name) override
    {
        rule_ = find_rule(name);
        if (rule_ != nullptr)
            return true;
        failure = make_error(error_kind::bad_request,
                             name.substr(0, quoted_bytes) +
                                 ": unknown field; allowed are model, prompt, "
                                 "max_tokens, stream");
        return false;
    }

    bool parse_error(std::size_t, const std::string&,
                     const json::exception&) override
    {
        return false;
    }

private:
    bool set(json value)
    {
        if (!is_inside_)
            return false;
        fields[std::string(rule_->name)] = std::move(value);
        return true;
    }

    bool set_nested()
    {
        failure = bad_field(*rule_);
        return false;
    }

    bool is_inside_ = false;
    const field_rule* rule_ = nullptr;
};

} // namespace

absl::StatusOr<json> parse_completion_fields(std::string_view body)
{
    field_collector collector;
    if (!json::sax_parse(body, &collector))
        return collector.failure.ok()
                   ? make_error(error_kind::bad_request,
                                "body: must be one JSON object; received " +
                                    std::to_string(body.size()) + " bytes")
                   : collector.failure;
    for (const auto& it : field_rules)
    {
        const auto value = collector.fields.find(it.name);
        const bool valid = value == collector.fields.end()
                               ? !it.is_required
                               : it.is_valid(*value);
        if (!valid)
            return bad_field(it);
    }
    return std::move(collector.fields);
}

} // namespace galenapulley
