#include "node/http_table_service.hpp"

#include "galenapulley/error_kind.hpp"
#include "node/http_client.hpp"
#include "node/platform_call.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace galenapulley
{

namespace
{

using nlohmann::json;

table_row parse_row(const json& source)
{
    return {.key = source.at("key").get<std::string>(),
            .version = source.at("version").get<std::int64_t>(),
            .value = source.at("value").get<std::string>()};
}

absl::StatusOr<table_row> parse_read(const std::string& key,
                                     const std::string& url,
                                     const http_result& result)
{
    if (result.error != transfer_error::none ||
        (result.status != 200 && result.status != 404))
        return platform_failure(url, result);
    if (result.status == 404)
        return table_row{.key = key, .version = 0, .value = {}};
    try
    {
        return parse_row(json::parse(result.body));
    }
    catch (const json::exception& error)
    {
        return make_error(error_kind::store_unavailable, error.what());
    }
}

/// Adds the row, unless a field is missing or has another type. Such a row
/// comes from another writer and must not hide the others.
void add_row(std::vector<table_row>& rows, const json& source)
{
    try
    {
        rows.push_back(parse_row(source));
    }
    catch (const json::exception&)
    {
        return;
    }
}

/// The service may respond with a bare array, or with an object that has the
/// array in its field `rows`.
absl::StatusOr<std::vector<table_row>> parse_scan(const std::string& url,
                                                  const http_result& result)
{
    if (result.error != transfer_error::none || result.status != 200)
        return platform_failure(url, result);
    try
    {
        const auto body = json::parse(result.body);
        const auto& list = body.is_object() ? body.at("rows") : body;
        if (!list.is_array())
            return make_error(error_kind::store_unavailable, "no list of rows");
        std::vector<table_row> rows;
        for (const auto& it : list)
            add_row(rows, it);
        return rows;
    }
    catch (const json::exception& error)
    {
        return make_error(error_kind::store_unavailable, error.what());
    }
}

std::string commit_body(const table_transaction& transaction)
{
    json body{{"conditions", json::array()}, {"writes", json::array()}};
    for (const auto& it : transaction.conditions)
        body["conditions"].push_back(
            {{"key", it.key}, {"version", it.version}});
    for (const auto& it : transaction.writes)
        body["writes"].push_back(
            {{"key", it.key},
             {"value", it.value ? json(*it.value) : json(nullptr)}});
    return body.dump();
}

commit_state commit_state_of(const http_result& result)
{
    if (result.error == transfer_error::not_connected)
        return commit_state::refused;
    if (result.error != transfer_error::none)
        return commit_state::unknown;
    switch (result.status)
    {
    case 200:
        return commit_state::committed;
    case 409:
        return commit_state::conflict;
    case 429:
        return commit_state::refused;
    default:
        return commit_state::unknown;
    }
}

commit_result parse_commit(const http_result& result)
{
    commit_result outcome;
    outcome.state = commit_state_of(result);
    try
    {
        if (outcome.state == commit_state::conflict)
            json::parse(result.body).at("conflict").get_to(outcome.conflict);
        else if (outcome.state == commit_state::committed)
            json::parse(result.body).at("versions").get_to(outcome.versions);
    }
    catch (const json::exception&)
    {
        // A response that can't be parsed leaves the outcome unknown.
        outcome.state = commit_state::unknown;
    }
    return outcome;
}

} // namespace

http_table_service::http_table_service(http_client& client,
                                       const std::string& address,
                                       post_function post)
    : client_(client)
    , base_url_("http://" + address + "/table/")
    , post_(std::move(post))
{
}

void http_table_service::read(const std::string& key, msec timeout,
                              read_callback done)
{
    const auto url = base_url_ + "row?key=" + percent_encoded(key);
    client_.start(platform_get(url, timeout),
                  [post = post_, done = std::move(done), key,
                   url](const http_result& result) mutable
                  {
                      post([done = std::move(done),
                            row = parse_read(key, url, result)] { done(row); });
                  });
}

void http_table_service::scan(const std::string& prefix, msec timeout,
                              scan_callback done)
{
    const auto url = base_url_ + "rows?prefix=" + percent_encoded(prefix);
    client_.start(platform_get(url, timeout),
                  [post = post_, done = std::move(done),
                   url](const http_result& result) mutable
                  {
                      post([done = std::move(done),
                            rows = parse_scan(url, result)] { done(rows); });
                  });
}

void http_table_service::commit(const table_transaction& transaction,
                                msec timeout, commit_callback done)
{
    // Must not use a pooled connection, where libcurl could send it twice.
    client_.start({.method = "POST",
                   .url = base_url_ + "commit",
                   .body = commit_body(transaction),
                   .timeout = timeout},
                  [post = post_,
                   done = std::move(done)](const http_result& result) mutable
                  {
                      post([done = std::move(done),
                            outcome = parse_commit(result)] { done(outcome); });
                  });
}

} // namespace galenapulley
