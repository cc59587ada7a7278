#pragma once

#include "ctl/admin_client.hpp"
#include "ctl/exit_code.hpp"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

struct ctl_options
{
    admin_client_options client;
    bool json = false;
    /// Version that a put or remove expects; queried if absent.
    std::optional<std::int64_t> expected_version{};
    /// Id of the change; a new one is made if empty.
    std::string change_id{};
};

/// Runs one verb of `galenapulley ctl`. Responses are printed to `out`,
/// failures to `err`.
class ctl_session
{
public:
    using arguments = std::vector<std::string>;

    ctl_session(ctl_options options, std::ostream& out, std::ostream& err);

    exit_code list_services(const arguments& args);
    exit_code get_service(const arguments& args);
    exit_code put_service(const arguments& args);
    exit_code check_service(const arguments& args);
    exit_code remove_service(const arguments& args);
    exit_code withdraw_zone(const arguments& args);
    exit_code return_zone(const arguments& args);
    exit_code withdraw_machine(const arguments& args);
    exit_code return_machine(const arguments& args);
    exit_code order_back_end(const arguments& args);
    exit_code show_status(const arguments& args);
    exit_code show_refusals(const arguments& args);
    exit_code show_metrics(const arguments& args);
    exit_code show_gateway(const arguments& args);
    exit_code show_endpoints(const arguments& args);
    exit_code show_accounts(const arguments& args);
    exit_code list_nodes(const arguments& args);

private:
    struct document
    {
        std::string name;
        std::string text;
    };

    std::optional<document> load_document(const std::string& file);
    std::optional<std::int64_t>
    resolve_expected_version(const std::string& path, exit_code& failure);
    exit_code change_service(admin_change request);
    exit_code show(const std::string& path);
    exit_code send_change(admin_change request);
    exit_code print_response(const admin_response& response);
    exit_code print_failure(const admin_response& response);

    ctl_options options_;
    admin_client client_;
    std::ostream& out_;
    std::ostream& err_;
};

} // namespace galenapulley
