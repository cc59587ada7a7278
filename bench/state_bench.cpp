// Memory per unit of control state, and parse time, memory and push size of
// service documents by number of customers and back ends.
#include "bench_support.hpp"
#include "galenapulley/action_ledger.hpp"
#include "galenapulley/config_document.hpp"
#include "galenapulley/config_registry.hpp"
#include "galenapulley/load_report.hpp"
#include "galenapulley/service.hpp"
#include "galenapulley/service_document.hpp"
#include "galenapulley/shard_scheduler.hpp"
#include "galenapulley/table_service.hpp"
#include "peer.pb.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace galenapulley;
using nlohmann::json;

namespace
{

constexpr std::size_t zones = 8;
constexpr int parses = 20;

/// Pseudo-random hex digits, without repetition like those of a real hash.
std::string token_hash(std::size_t n)
{
    std::uint64_t random = n + 1;
    std::string text;
    while (text.size() < 64)
    {
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        text += "0123456789abcdef"[random >> 60U];
    }
    return text;
}

std::string document_text(std::size_t customers, std::size_t back_ends)
{
    json document{{"service", "drafting"},
                  {"team", "tuul-gate"},
                  {"kind", "model"},
                  {"models", {"drafter"}},
                  {"max_prompt_tokens", 1'000'000},
                  {"max_output_tokens", 4096},
                  {"placement", "size_interval"},
                  {"shards_per_zone", 1}};
    for (std::size_t n = 0; n < customers; ++n)
        document["customers"].push_back(
            {{"name", "customer-" + std::to_string(n)},
             {"token_sha256", token_hash(n)},
             {"weight", 1},
             {"max_in_flight", 50}});
    for (std::size_t n = 0; n < back_ends; ++n)
        document["back_ends"].push_back(
            {{"name", "engine-" + std::to_string(n)},
             {"address", "10.11.12.113:" + std::to_string(9000 + n)},
             {"zone", "zone-" + std::to_string(n % zones)},
             {"machine", "vm-" + std::to_string(n)},
             {"slots", 16},
             {"cold_slots", 2},
             {"kv_tokens", 400'000},
             {"checks_fencing", true}});
    return document.dump();
}

json measure_document(std::size_t customers, std::size_t back_ends)
{
    const auto text = document_text(customers, back_ends);
    config_document document{.name = "services/drafting",
                             .version = 1,
                             .change_id = "change-0123456789",
                             .body = text};
    const auto before = bench::heap_bytes();
    config_registry registry;
    registry.apply(document).IgnoreError();
    const auto held = bench::heap_bytes() - before;
    const auto start = bench::thread_cpu_us();
    for (int n = 0; n < parses; ++n)
    {
        ++document.version;
        registry.apply(document).IgnoreError();
    }
    const auto apply_us = (bench::thread_cpu_us() - start) / parses;
    wire::peer_message message;
    message.set_from("node-1");
    message.set_incarnation(1'780'000'000'000);
    *message.mutable_config_push()->add_documents() = to_wire(document);
    const auto row_start = bench::thread_cpu_us();
    const auto row = encode_row({}, document.change_id, document.body);
    decode_row({.key = document.name, .version = 1, .value = row})
        .status()
        .IgnoreError();
    return {{"customers", customers},
            {"back_ends", back_ends},
            {"text_bytes", text.size()},
            {"row_bytes", row.size()},
            {"push_bytes", message.ByteSizeLong()},
            {"apply_us", apply_us},
            {"row_encode_decode_us", bench::thread_cpu_us() - row_start},
            {"heap_bytes", held}};
}

/// A shard's scheduler: memory when idle, and per permit.
json measure_shard(std::size_t customers, std::size_t back_ends,
                   std::size_t permits)
{
    manual_clock time(1'000'000);
    shard_scheduler::generator random(42);
    const auto document =
        *parse_service(document_text(customers, back_ends * zones));
    const auto before = bench::heap_bytes();
    auto owner = std::make_unique<shard_scheduler>(document.shards().front(),
                                                   time, random);
    owner->set_service(document);
    for (const auto& it : document.back_ends)
        owner->on_load_report(it.name, {});
    time.advance(60'000);
    owner->tick();
    const auto idle = bench::heap_bytes() - before;
    for (std::size_t n = 0; n < permits; ++n)
        owner->register_permit({.node = "node-" + std::to_string(n % 350),
                                .incarnation = 1,
                                .request = n + 1},
                               {{.back_end = "engine-0", .tokens = 2000}},
                               "customer-" + std::to_string(n % customers),
                               time.now() + 30'000);
    return {{"customers", customers},
            {"back_ends", back_ends},
            {"permits", owner->running()},
            {"heap_bytes_idle", idle},
            {"heap_bytes_with_permits", bench::heap_bytes() - before}};
}

/// Commits every transaction without storing it, so that only the ledger's own
/// state is measured.
class accepting_table final : public table_service
{
public:
    void read(const std::string& key, msec, read_callback done) override
    {
        done(table_row{.key = key, .version = 0, .value = ""});
    }
    void scan(const std::string&, msec, scan_callback done) override
    {
        done(std::vector<table_row>{});
    }
    void commit(const table_transaction& transaction, msec,
                commit_callback done) override
    {
        commit_result result{.state = commit_state::committed};
        for (const auto& it : transaction.writes)
            result.versions[it.key] = 1;
        pending_.emplace_back(std::move(done), std::move(result));
    }

    void complete_all()
    {
        for (const auto& [done, result] : std::exchange(pending_, {}))
            done(result);
    }

private:
    std::vector<std::pair<commit_callback, commit_result>> pending_;
};

/// Memory and processor time of ledger entries between `begin` and `finish`.
json measure_ledger(std::size_t entries)
{
    manual_clock time(1'000'000);
    accepting_table table;
    action_ledger ledger(time, table, {.node = "node-1", .incarnation = 1},
                         [](const std::string&, std::int64_t) { return true; });
    std::size_t started = 0;
    const auto before = bench::heap_bytes();
    const auto start = bench::thread_cpu_us();
    for (std::size_t n = 0; n < entries; ++n)
    {
        action_request request;
        request.key = {.service = "pass-records",
                       .customer = "customer-" + std::to_string(n % 10),
                       .idempotency_key =
                           "0123456789abcdef-" + std::to_string(n)};
        request.attempt_id = "node-1.1780000000000." + std::to_string(n);
        request.timeout = 5000;
        ledger.begin(std::move(request), [&](const begin_result& it)
                     { started += it.state == begin_state::started ? 1 : 0; });
        time.advance(10);
        ledger.tick();
        table.complete_all();
    }
    time.advance(10);
    ledger.tick();
    table.complete_all();
    ledger.tick();
    return {{"entries", entries},
            {"started", started},
            {"cpu_us_per_begin",
             (bench::thread_cpu_us() - start) / static_cast<double>(entries)},
            {"heap_bytes", bench::heap_bytes() - before}};
}

} // namespace

int main()
{
    json result;
    // Warm-up: the first use of a library makes allocations that it keeps.
    measure_document(10, 10);
    for (const std::size_t customers : {10, 500, 2700})
        for (const std::size_t back_ends : {20, 110})
            result["documents"].push_back(
                measure_document(customers, back_ends));
    for (const std::size_t back_ends : {5, 14, 28})
        for (const std::size_t permits : {0, 100, 1000})
            result["shards"].push_back(measure_shard(10, back_ends, permits));
    result["shards"].push_back(measure_shard(2700, 14, 1000));
    for (const std::size_t entries : {100, 1000, 4000})
        result["ledger"].push_back(measure_ledger(entries));
    std::cout << result.dump(1) << "\n";
    return 0;
}
