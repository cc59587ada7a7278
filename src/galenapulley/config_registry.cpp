#include "galenapulley/config_registry.hpp"

#include "galenapulley/error_kind.hpp"
#include "galenapulley/fleet.hpp"
#include "galenapulley/fleet_document.hpp"
#include "galenapulley/service.hpp"
#include "galenapulley/service_document.hpp"

#include <xxhash.h>

namespace galenapulley
{

config_registry::config_registry() : fleet_(std::make_shared<fleet>()) {}

absl::StatusOr<bool> config_registry::apply(const config_document& document)
{
    if (document.version <= version_of(document.name))
        return false;
    if (auto status = parse(document); !status.ok())
        return status;
    documents_[document.name] = document;
    update_digest();
    // Copied, because a callback may apply further documents.
    const auto applied = document;
    for (std::size_t n = 0; n < callbacks_.size(); ++n)
        callbacks_[n](applied);
    return true;
}

absl::Status config_registry::parse(const config_document& document)
{
    if (document.name == fleet_row)
    {
        auto parsed = document.deleted() ? absl::StatusOr<fleet>(fleet())
                                         : parse_fleet(document.body);
        if (!parsed.ok())
            return parsed.status();
        fleet_ = std::make_shared<const fleet>(*std::move(parsed));
        return absl::OkStatus();
    }
    if (document.name.rfind(services_prefix, 0) != 0)
        return make_error(error_kind::invalid_document,
                          "unknown document name " + document.name);
    const auto name = document.name.substr(services_prefix.size());
    if (document.deleted())
    {
        services_.erase(name);
        return absl::OkStatus();
    }
    auto parsed = parse_service(document.body);
    if (!parsed.ok())
        return parsed.status();
    if (parsed->name != name)
        return make_error(error_kind::invalid_document,
                          "service: " + parsed->name +
                              " is not allowed; allowed: " + name);
    services_[name] = std::make_shared<const service>(*std::move(parsed));
    return absl::OkStatus();
}

std::shared_ptr<const service>
config_registry::find_service(const std::string& name) const
{
    const auto it = services_.find(name);
    return it == services_.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<const service>> config_registry::services() const
{
    std::vector<std::shared_ptr<const service>> all;
    for (const auto& [name, it] : services_)
        all.push_back(it);
    return all;
}

const config_document*
config_registry::find(const std::string& document_name) const
{
    const auto it = documents_.find(document_name);
    return it == documents_.end() ? nullptr : &it->second;
}

std::int64_t config_registry::version_of(const std::string& document_name) const
{
    const auto* it = find(document_name);
    return it == nullptr ? 0 : it->version;
}

std::vector<document_version> config_registry::versions() const
{
    std::vector<document_version> all;
    for (const auto& [name, it] : documents_)
        all.push_back({.name = name, .version = it.version});
    return all;
}

std::vector<config_document>
config_registry::newer_than(const std::vector<document_version>& known) const
{
    std::map<std::string, std::int64_t> held;
    for (const auto& it : known)
        held[it.name] = it.version;
    std::vector<config_document> newer;
    for (const auto& [name, it] : documents_)
        if (it.version > held[name])
            newer.push_back(it);
    return newer;
}

void config_registry::on_change(change_callback callback)
{
    callbacks_.push_back(std::move(callback));
}

void config_registry::update_digest()
{
    std::string text;
    for (const auto& [name, it] : documents_)
        text += name + "=" + std::to_string(it.version) + "\n";
    digest_ = XXH3_64bits(text.data(), text.size());
}

} // namespace galenapulley
