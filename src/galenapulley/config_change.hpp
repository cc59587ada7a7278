#pragma once

#include "galenapulley/config_document.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace galenapulley
{

struct fleet;

/// A change of one configuration document, requested by an operator or a team.
class config_change
{
public:
    virtual ~config_change() = default;

    /// Verb phrase for logs, such as "withdraw zone".
    virtual std::string_view name() const = 0;
    /// Object of the change, such as the name of the zone.
    virtual const std::string& subject() const = 0;
    /// Name of the document that the change edits.
    virtual std::string document_name() const = 0;
    /// Checks everything that does not depend on the current document.
    virtual absl::Status validate() const = 0;
    /// Returns the body of the document after the change; empty for a
    /// tombstone. Fails with `version_conflict` if the change expects another
    /// version.
    virtual absl::StatusOr<std::string>
    apply(const config_document& current) const = 0;
};

/// Creates or replaces a service document.
class put_service final : public config_change
{
public:
    /// With an expected version (0 = the service does not exist), the change
    /// applies to that version only; without one it replaces any version. With
    /// a team, it fails if the current document belongs to another team.
    put_service(std::string service_name, std::string body,
                std::optional<std::int64_t> expected_version = std::nullopt,
                std::string team = {});

    std::string_view name() const override { return "put service"; }
    const std::string& subject() const override { return service_name_; }
    std::string document_name() const override;
    absl::Status validate() const override;
    absl::StatusOr<std::string>
    apply(const config_document& current) const override;

private:
    std::string service_name_;
    std::string body_;
    std::optional<std::int64_t> expected_version_;
    std::string team_;
};

/// Replaces a service document by a tombstone.
class remove_service final : public config_change
{
public:
    explicit remove_service(
        std::string service_name,
        std::optional<std::int64_t> expected_version = std::nullopt,
        std::string team = {});

    std::string_view name() const override { return "remove service"; }
    const std::string& subject() const override { return service_name_; }
    std::string document_name() const override;
    absl::Status validate() const override;
    absl::StatusOr<std::string>
    apply(const config_document& current) const override;

private:
    std::string service_name_;
    std::optional<std::int64_t> expected_version_;
    std::string team_;
};

/// Base of the changes that add or remove one name in the fleet document.
class fleet_change : public config_change
{
public:
    const std::string& subject() const override { return subject_; }
    std::string document_name() const override;
    absl::Status validate() const override;
    absl::StatusOr<std::string>
    apply(const config_document& current) const override;

protected:
    explicit fleet_change(std::string subject);

    virtual void edit(fleet& target) const = 0;

private:
    std::string subject_;
};

class withdraw_zone final : public fleet_change
{
public:
    explicit withdraw_zone(std::string zone);
    std::string_view name() const override { return "withdraw zone"; }

private:
    void edit(fleet& target) const override;
};

class return_zone final : public fleet_change
{
public:
    explicit return_zone(std::string zone);
    std::string_view name() const override { return "return zone"; }

private:
    void edit(fleet& target) const override;
};

class withdraw_machine final : public fleet_change
{
public:
    explicit withdraw_machine(std::string machine);
    std::string_view name() const override { return "withdraw machine"; }

private:
    void edit(fleet& target) const override;
};

class return_machine final : public fleet_change
{
public:
    explicit return_machine(std::string machine);
    std::string_view name() const override { return "return machine"; }

private:
    void edit(fleet& target) const override;
};

} // namespace galenapulley
