#include "galenapulley/config_change.hpp"

#include "galenapulley/error_kind.hpp"
#include "galenapulley/fleet_document.hpp"
#include "galenapulley/json_reader.hpp"
#include "galenapulley/service_document.hpp"

namespace galenapulley
{

namespace
{

absl::Status check_name(std::string_view field, const std::string& value)
{
    if (name_rule.matches(value))
        return absl::OkStatus();
    validation_errors errors;
    errors.add(field, value, name_rule.allowed);
    return errors.status("change");
}

absl::Status check_version(const config_document& current,
                           std::optional<std::int64_t> expected)
{
    // 0 means that the service does not exist, which a tombstone also states.
    if (!expected || *expected == current.version ||
        (*expected == 0 && current.deleted()))
        return absl::OkStatus();
    return make_error(
        error_kind::version_conflict,
        current.name + " has version " + std::to_string(current.version) +
            "; the change expects version " + std::to_string(*expected));
}

/// Checks the team in the stored document, because the node's copy may be
/// missing or older.
absl::Status check_team(const config_document& current, const std::string& team)
{
    if (team.empty() || current.deleted())
        return absl::OkStatus();
    const auto parsed = parse_service(current.body);
    if (!parsed.ok() || parsed->team == team)
        return absl::OkStatus();
    return make_error(error_kind::forbidden,
                      current.name + " belongs to another team");
}

} // namespace

put_service::put_service(std::string service_name, std::string body,
                         std::optional<std::int64_t> expected_version,
                         std::string team)
    : service_name_(std::move(service_name))
    , body_(std::move(body))
    , expected_version_(expected_version)
    , team_(std::move(team))
{
}

std::string put_service::document_name() const
{
    return service_row(service_name_);
}

absl::Status put_service::validate() const
{
    const auto parsed = parse_service(body_);
    if (!parsed.ok() || parsed->name == service_name_)
        return parsed.status();
    validation_errors errors;
    errors.add("service", parsed->name,
               "the name " + service_name_ + ", as in the request");
    return errors.status("service document");
}

absl::StatusOr<std::string>
put_service::apply(const config_document& current) const
{
    if (auto status = check_team(current, team_); !status.ok())
        return status;
    if (auto status = check_version(current, expected_version_); !status.ok())
        return status;
    return body_;
}

remove_service::remove_service(std::string service_name,
                               std::optional<std::int64_t> expected_version,
                               std::string team)
    : service_name_(std::move(service_name))
    , expected_version_(expected_version)
    , team_(std::move(team))
{
}

std::string remove_service::document_name() const
{
    return service_row(service_name_);
}

absl::Status remove_service::validate() const
{
    return check_name("service", service_name_);
}

absl::StatusOr<std::string>
remove_service::apply(const config_document& current) const
{
    if (auto status = check_team(current, team_); !status.ok())
        return status;
    if (auto status = check_version(current, expected_version_); !status.ok())
        return status;
    if (current.deleted())
        return make_error(error_kind::unknown_service,
                          "there is no service " + service_name_);
    return std::string();
}

fleet_change::fleet_change(std::string subject) : subject_(std::move(subject))
{
}

std::string fleet_change::document_name() const
{
    return std::string(fleet_row);
}

absl::Status fleet_change::validate() const
{
    return check_name(name(), subject_);
}

absl::StatusOr<std::string>
fleet_change::apply(const config_document& current) const
{
    fleet value;
    if (!current.deleted())
    {
        auto parsed = parse_fleet(current.body);
        if (!parsed.ok())
            return parsed.status();
        value = *std::move(parsed);
    }
    edit(value);
    return format_fleet(value);
}

withdraw_zone::withdraw_zone(std::string zone) : fleet_change(std::move(zone))
{
}

void withdraw_zone::edit(fleet& target) const
{
    target.withdrawn_zones.insert(subject());
}

return_zone::return_zone(std::string zone) : fleet_change(std::move(zone)) {}

void return_zone::edit(fleet& target) const
{
    target.withdrawn_zones.erase(subject());
}

withdraw_machine::withdraw_machine(std::string machine)
    : fleet_change(std::move(machine))
{
}

void withdraw_machine::edit(fleet& target) const
{
    target.withdrawn_machines.insert(subject());
}

return_machine::return_machine(std::string machine)
    : fleet_change(std::move(machine))
{
}

void return_machine::edit(fleet& target) const
{
    target.withdrawn_machines.erase(subject());
}

} // namespace galenapulley
