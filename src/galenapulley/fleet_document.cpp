#include "galenapulley/fleet_document.hpp"

#include "galenapulley/json_reader.hpp"

namespace galenapulley
{

absl::StatusOr<fleet> parse_fleet(std::string_view text)
{
    const auto parsed = parse_json(text, "fleet document");
    if (!parsed.ok())
        return parsed.status();
    validation_errors errors;
    object_reader in(*parsed, "", errors);
    const auto zones = in.names("withdrawn_zones", name_rule, true);
    const auto machines = in.names("withdrawn_machines", name_rule, true);
    in.finish();
    if (!errors.empty())
        return errors.status("fleet document");
    return fleet{.withdrawn_zones = {zones.begin(), zones.end()},
                 .withdrawn_machines = {machines.begin(), machines.end()}};
}

std::string format_fleet(const fleet& value)
{
    const nlohmann::json out{{"withdrawn_zones", value.withdrawn_zones},
                             {"withdrawn_machines", value.withdrawn_machines}};
    return out.dump();
}

} // namespace galenapulley
