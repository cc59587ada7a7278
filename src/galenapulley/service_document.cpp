#include "galenapulley/service_document.hpp"

#include "galenapulley/json_reader.hpp"

#include <array>

namespace galenapulley
{

namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 2> kinds{"model", "plain"};
constexpr std::array<std::string_view, 4> placements{
    "random", "round_robin", "least_outstanding", "size_interval"};
constexpr std::array<std::string_view, 6> methods{"GET", "HEAD",  "POST",
                                                  "PUT", "PATCH", "DELETE"};

constexpr std::uint32_t max_tokens = 10'000'000;
constexpr std::uint32_t max_output_tokens = 1'000'000;
constexpr std::uint32_t max_slots = 100'000;
constexpr std::uint32_t max_shards_per_zone = 64;
constexpr std::uint32_t max_weight = 1000;
constexpr std::uint32_t max_kv_tokens = 1'000'000'000;
constexpr std::uint32_t max_deadline_ms = 86'400'000;
constexpr std::uint32_t max_route_timeout_ms = 3'600'000;
constexpr std::size_t max_classes = 8;
// Limit of the sum of reserved percentages before the last length class, so
// that the last class keeps some capacity.
constexpr std::uint32_t max_reserved_percent = 99;

customer read_customer(object_reader& in)
{
    return {.name = in.text("name", name_rule),
            .token_sha256 = in.text("token_sha256", sha256_rule),
            .weight = in.number("weight", 1, max_weight, 1),
            .max_in_flight = in.number("max_in_flight", 1, max_slots, 50)};
}

back_end read_back_end(object_reader& in, service_kind kind)
{
    back_end it{.name = in.text("name", name_rule),
                .address = in.text("address", address_rule),
                .zone = in.text("zone", name_rule),
                .machine = in.text("machine", name_rule),
                .slots = in.number("slots", 1, max_slots)};
    it.cold_slots = in.number("cold_slots", 1, it.slots, 1);
    if (kind == service_kind::model)
        it.kv_tokens = in.number("kv_tokens", 1, max_kv_tokens);
    else
        it.kv_tokens = in.number("kv_tokens", 0, 0, 0);
    it.checks_fencing = in.flag("checks_fencing", false);
    return it;
}

length_class read_class(object_reader& in)
{
    return {.name = in.text("name", name_rule),
            .up_to_tokens = in.number("up_to_tokens", 1, max_tokens),
            .deadline = in.number("deadline_ms", 1, max_deadline_ms),
            .reserved_percent = in.number("reserved_percent", 0, 100, 0)};
}

plain_route read_route(object_reader& in)
{
    // `idempotent` has no default: a wrong one would allow a retry to run an
    // action twice.
    return {.method = in.choice("method", methods),
            .path = in.text("path", path_rule),
            .idempotent = in.flag("idempotent"),
            .timeout = in.number("timeout_ms", 1, max_route_timeout_ms, 5000)};
}

template <typename Items, typename Key>
void check_unique(object_reader& in, const char* list, const char* field,
                  const Items& items, Key key)
{
    std::set<std::string> seen;
    for (std::size_t n = 0; n < items.size(); ++n)
    {
        const std::string value = key(items[n]);
        // An invalid value was already reported and reads as empty.
        if (!value.empty() && !seen.insert(value).second)
            in.errors().add(in.element_path(list, n) + "." + field, value,
                            "a value that no other element has");
    }
}

void check_names(object_reader& in, const service& it)
{
    const auto name = [](const auto& item)
    {
        return item.name;
    };
    check_unique(in, "customers", "name", it.customers, name);
    check_unique(in, "customers", "token_sha256", it.customers,
                 [](const customer& item) { return item.token_sha256; });
    check_unique(in, "back_ends", "name", it.back_ends, name);
    // Two back ends with one address would together exceed the limits of the
    // endpoint.
    check_unique(in, "back_ends", "address", it.back_ends,
                 [](const back_end& item) { return item.address; });
    check_unique(in, "classes", "name", it.classes, name);
    check_unique(in, "routes", "path", it.routes,
                 [](const plain_route& item) {
                     return item.path.empty() ? item.path
                                              : item.method + " " + item.path;
                 });
}

void check_classes(object_reader& in, const service& it)
{
    auto& errors = in.errors();
    if (it.classes.empty() || it.classes.size() > max_classes)
    {
        errors.add(in.path_of("classes"), it.classes.size(),
                   "1 to " + std::to_string(max_classes) + " classes");
        return;
    }
    std::uint32_t reserved = 0;
    for (std::size_t n = 0; n + 1 < it.classes.size(); ++n)
    {
        reserved += it.classes[n].reserved_percent;
        if (it.classes[n + 1].up_to_tokens <= it.classes[n].up_to_tokens)
            errors.add(in.element_path("classes", n + 1) + ".up_to_tokens",
                       it.classes[n + 1].up_to_tokens,
                       "more than the class before");
    }
    if (reserved > max_reserved_percent)
        errors.add(in.path_of("classes") + ".reserved_percent", reserved,
                   "a sum of at most 99 over all classes but the last");
    const auto last = it.classes.size() - 1;
    if (it.classes[last].up_to_tokens < it.max_prompt_tokens)
        errors.add(in.element_path("classes", last) + ".up_to_tokens",
                   it.classes[last].up_to_tokens,
                   "at least max_prompt_tokens in the last class");
    if (reserved + it.classes[last].reserved_percent > 100)
        errors.add(in.element_path("classes", last) + ".reserved_percent",
                   it.classes[last].reserved_percent,
                   "a sum of at most 100 over all classes");
}

void check_kind(object_reader& in, const service& it)
{
    if (it.kind == service_kind::plain && !it.models.empty())
        in.errors().add(in.path_of("models"), it.models,
                        "no models on a plain service");
    if (it.kind == service_kind::model && it.models.empty())
        in.errors().add(in.path_of("models"), it.models,
                        "at least one model on a model service");
    if (it.kind == service_kind::model && !it.routes.empty())
        in.errors().add(in.path_of("routes"), it.routes.size(),
                        "no routes on a model service");
}

service read_service(object_reader& in)
{
    service it;
    it.name = in.text("service", name_rule);
    it.team = in.text("team", name_rule);
    it.kind = in.choice("kind", kinds) == "plain" ? service_kind::plain
                                                  : service_kind::model;
    it.models = in.names("models", name_rule, false);
    it.max_prompt_tokens =
        in.number("max_prompt_tokens", 1, max_tokens, it.max_prompt_tokens);
    it.max_output_tokens = in.number("max_output_tokens", 1, max_output_tokens,
                                     it.max_output_tokens);
    it.placement = in.choice("placement", placements, it.placement);
    it.shards_per_zone =
        in.number("shards_per_zone", 1, max_shards_per_zone, 1);
    it.customers = in.objects<customer>("customers", true, read_customer);
    it.back_ends = in.objects<back_end>(
        "back_ends", true,
        [&](object_reader& item) { return read_back_end(item, it.kind); });
    it.classes = in.objects<length_class>("classes", false, read_class);
    if (!in.has("classes"))
        it.classes = default_classes(it.max_prompt_tokens);
    it.routes = in.objects<plain_route>("routes", false, read_route);
    return it;
}

json to_json(const customer& it)
{
    return {{"name", it.name},
            {"token_sha256", it.token_sha256},
            {"weight", it.weight},
            {"max_in_flight", it.max_in_flight}};
}

json to_json(const back_end& it)
{
    return {{"name", it.name},           {"address", it.address},
            {"zone", it.zone},           {"machine", it.machine},
            {"slots", it.slots},         {"cold_slots", it.cold_slots},
            {"kv_tokens", it.kv_tokens}, {"checks_fencing", it.checks_fencing}};
}

json to_json(const length_class& it)
{
    return {{"name", it.name},
            {"up_to_tokens", it.up_to_tokens},
            {"deadline_ms", it.deadline},
            {"reserved_percent", it.reserved_percent}};
}

json to_json(const plain_route& it)
{
    return {{"method", it.method},
            {"path", it.path},
            {"idempotent", it.idempotent},
            {"timeout_ms", it.timeout}};
}

template <typename Items>
json list_of(const Items& items)
{
    auto list = json::array();
    for (const auto& it : items)
        list.push_back(to_json(it));
    return list;
}

} // namespace

absl::StatusOr<service> parse_service(std::string_view text)
{
    const auto parsed = parse_json(text, "service document");
    if (!parsed.ok())
        return parsed.status();
    validation_errors errors;
    object_reader in(*parsed, "", errors);
    auto it = read_service(in);
    in.finish();
    if (parsed->is_object())
    {
        check_kind(in, it);
        check_names(in, it);
        check_classes(in, it);
    }
    if (!errors.empty())
        return errors.status("service document");
    return it;
}

std::string format_service(const service& value)
{
    const bool is_plain = value.kind == service_kind::plain;
    json out{{"service", value.name},
             {"team", value.team},
             {"kind", is_plain ? "plain" : "model"},
             {"max_prompt_tokens", value.max_prompt_tokens},
             {"max_output_tokens", value.max_output_tokens},
             {"placement", value.placement},
             {"shards_per_zone", value.shards_per_zone},
             {"customers", list_of(value.customers)},
             {"back_ends", list_of(value.back_ends)},
             {"classes", list_of(value.classes)}};
    if (is_plain)
        out["routes"] = list_of(value.routes);
    else
        out["models"] = value.models;
    return out.dump();
}

std::vector<length_class> default_classes(std::uint32_t max_prompt_tokens)
{
    std::vector<length_class> classes{{.name = "short",
                                       .up_to_tokens = 8000,
                                       .deadline = 30_sec,
                                       .reserved_percent = 40},
                                      {.name = "medium",
                                       .up_to_tokens = 32'000,
                                       .deadline = 60_sec,
                                       .reserved_percent = 20},
                                      {.name = "long",
                                       .up_to_tokens = 100'000,
                                       .deadline = 300_sec,
                                       .reserved_percent = 10},
                                      {.name = "huge",
                                       .up_to_tokens = max_tokens,
                                       .deadline = 900_sec,
                                       .reserved_percent = 0}};
    std::size_t n = 0;
    while (classes[n].up_to_tokens < max_prompt_tokens)
        ++n;
    classes.resize(n + 1);
    classes[n].up_to_tokens = max_prompt_tokens;
    return classes;
}

} // namespace galenapulley
