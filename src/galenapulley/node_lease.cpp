#include "galenapulley/node_lease.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace galenapulley
{

namespace
{

constexpr msec store_timeout = 1000;
// Short enough for a renewal within the TTL after two failed attempts.
constexpr msec retry_interval = 500;

} // namespace

std::string lease_key(const std::string& node)
{
    return "nodes/" + node;
}

std::string format_lease(const lease_record& record)
{
    const nlohmann::json row{
        {"incarnation", record.incarnation}, {"renewal", record.renewal},
        {"claims", record.claims},           {"zone", record.zone},
        {"peer", record.peer_address},       {"listen", record.listen_address},
        {"machine", record.machine},         {"leaving", record.leaving}};
    return row.dump();
}

std::optional<lease_record> parse_lease(const std::string& value)
{
    try
    {
        const auto row = nlohmann::json::parse(value);
        return lease_record{.incarnation = row.at("incarnation"),
                            .renewal = row.at("renewal"),
                            .claims = row.at("claims"),
                            .zone = row.at("zone"),
                            .peer_address = row.at("peer"),
                            .listen_address = row.at("listen"),
                            .machine = row.at("machine"),
                            .leaving = row.at("leaving")};
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

node_lease::node_lease(const clock& time, table_service& table, settings own,
                       observer events)
    : time_(time)
    , table_(table)
    , own_(std::move(own))
    , events_(std::move(events))
{
    record_ = {.incarnation = own_.incarnation,
               .renewal = 0,
               .claims = 0,
               .zone = own_.zone,
               .peer_address = own_.peer_address,
               .listen_address = own_.listen_address,
               .machine = own_.machine,
               .leaving = false};
}

void node_lease::tick()
{
    if (phase_ != phase::idle || time_.now() < next_action_)
        return;
    if (!version_)
        read_row();
    else if (release_requested_)
        send_release();
    else
        send_renewal();
}

bool node_lease::held(msec now) const
{
    return now < held_until_;
}

void node_lease::announce_leaving()
{
    record_.leaving = true;
    next_action_ = time_.now();
}

void node_lease::release(std::function<void()> done)
{
    release_done_ = std::move(done);
    release_requested_ = true;
    held_until_ = 0;
    next_action_ = time_.now();
    if (phase_ == phase::ended)
        finish_release();
}

void node_lease::send_renewal()
{
    phase_ = phase::renewing;
    ++record_.renewal;
    renewal_sent_at_ = time_.now();
    leaving_sent_ = record_.leaving;
    const auto key = lease_key(own_.node);
    const table_transaction renewal{.conditions = {{key, *version_}},
                                    .writes = {{key, format_lease(record_)}}};
    table_.commit(renewal, store_timeout,
                  [this, guard = std::weak_ptr(alive_)](const auto& result)
                  {
                      if (guard.lock())
                          on_commit(result);
                  });
}

void node_lease::on_commit(const commit_result& result)
{
    phase_ = phase::idle;
    const auto row = result.versions.find(lease_key(own_.node));
    if (result.state == commit_state::committed && row != result.versions.end())
    {
        version_ = row->second;
        extend();
    }
    else if (result.state == commit_state::refused)
        next_action_ = time_.now() + retry_interval;
    else
    {
        outcome_unknown_ = true;
        read_row();
    }
}

void node_lease::extend()
{
    outcome_unknown_ = false;
    created_ = true;
    const auto pending_mark = record_.leaving && !leaving_sent_;
    next_action_ = pending_mark ? time_.now()
                                : renewal_sent_at_ + own_.terms.renew_interval;
    if (release_requested_)
    {
        next_action_ = time_.now();
        return;
    }
    const auto was_held = held(time_.now());
    held_until_ = std::max(held_until_, renewal_sent_at_ + own_.terms.ttl);
    if (!was_held && held(time_.now()) && events_.on_held)
        events_.on_held();
}

void node_lease::read_row()
{
    phase_ = phase::reading;
    table_.read(lease_key(own_.node), store_timeout,
                [this, guard = std::weak_ptr(alive_)](const auto& row)
                {
                    if (guard.lock())
                        on_row(row);
                });
}

void node_lease::on_row(const absl::StatusOr<table_row>& row)
{
    phase_ = phase::idle;
    if (!row.ok())
    {
        // The version may have changed, so the next attempt reads it again.
        version_.reset();
        next_action_ = time_.now() + retry_interval;
        return;
    }
    version_ = row->version;
    next_action_ = time_.now();
    if (row->version == 0)
    {
        if (release_requested_)
            finish_release();
        else if (created_)
            // Claims made while the row was absent were not counted in it.
            on_foreign_claim(record_.claims);
        created_ = false;
        return;
    }
    if (const auto record = parse_lease(row->value))
        adopt(*record);
}

void node_lease::adopt(const lease_record& record)
{
    if (record.incarnation > own_.incarnation)
    {
        end();
        return;
    }
    if (record.incarnation < own_.incarnation)
    {
        record_.claims = record.claims;
        return;
    }
    if (record.claims != record_.claims)
        on_foreign_claim(record.claims);
    else if (outcome_unknown_ && record.renewal == record_.renewal)
        extend();
    outcome_unknown_ = false;
}

void node_lease::on_foreign_claim(std::int64_t claims)
{
    record_.claims = claims;
    held_until_ = 0;
    ++generation_;
    if (events_.on_conflict)
        events_.on_conflict();
}

void node_lease::end()
{
    phase_ = phase::ended;
    held_until_ = 0;
    ++generation_;
    if (release_requested_)
        finish_release();
    else if (events_.on_replaced)
        events_.on_replaced();
}

void node_lease::send_release()
{
    phase_ = phase::releasing;
    const auto key = lease_key(own_.node);
    const table_transaction removal{.conditions = {{key, *version_}},
                                    .writes = {{key, std::nullopt}}};
    table_.commit(removal, store_timeout,
                  [this, guard = std::weak_ptr(alive_)](const auto& result)
                  {
                      if (guard.lock())
                          on_released(result);
                  });
}

void node_lease::on_released(const commit_result& result)
{
    phase_ = phase::idle;
    if (result.state == commit_state::committed)
    {
        finish_release();
        return;
    }
    next_action_ = time_.now() + retry_interval;
    if (result.state != commit_state::refused)
        read_row();
}

void node_lease::finish_release()
{
    phase_ = phase::ended;
    if (auto done = std::exchange(release_done_, {}))
        done();
}

} // namespace galenapulley
