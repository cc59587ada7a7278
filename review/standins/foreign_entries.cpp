#include "kit.hpp"

#include <memory>

// Entries of another writer fill the first page of the server list. After all
// processes were killed and started again, no request is served.

namespace
{

using namespace review;

constexpr int gateways = 3;
constexpr int foreign_entries = 20;
/// Below the store's limit of 65,536 bytes for a row.
constexpr std::size_t foreign_bytes = 60'000;
constexpr int deadline_ms = 1500;
constexpr int recovery_ms = 12'000;
constexpr int calls_before = 20;
constexpr int calls_after = 40;

std::string foreign_value(int seed)
{
    std::string out;
    for (std::size_t n = 0; n < foreign_bytes; ++n)
        out += static_cast<char>((n * 131 + n / 251 + seed * 17) % 256);
    return out;
}

/// Sends lookups to the gateways in turn; returns how many were served.
int send_lookups(record& log, const std::vector<std::unique_ptr<gateway>>& all,
                 const std::string& phase, int calls)
{
    int served = 0;
    for (int n = 0; n < calls; ++n)
    {
        const auto attempt = phase + '-' + std::to_string(n);
        const auto& to = *all[static_cast<std::size_t>(n) % all.size()];
        log.line("client sends GET /l/x attempt " + attempt + " to " +
                 to.name());
        const int status =
            call(to.traffic(),
                 client_request("GET", "/l/x" + std::to_string(n), attempt, "",
                                deadline_ms),
                 2 * deadline_ms);
        log.line("client got " + std::to_string(status) + " for " + attempt);
        served += status == 200 ? 1 : 0;
        sleep_ms(50);
    }
    log.line(phase + ": " + std::to_string(served) + " of " +
             std::to_string(calls) + " served");
    return served;
}

int play(record& log)
{
    temporary_folder folder;
    store rows;
    rows.put("op", "config", configuration(3000));
    endpoint first(rows, log, "i-1", 16);
    endpoint second(rows, log, "i-2", 16);
    std::vector<std::unique_ptr<gateway>> all;
    std::vector<std::string> seeds;
    for (int n = 0; n < gateways; ++n)
    {
        const auto id = std::to_string(n + 1);
        all.push_back(std::make_unique<gateway>(
            "front-" + id, "z" + id, rows.address(), folder.path(), 182));
        seeds.push_back(all.back()->peer());
    }
    for (const auto& it : all)
    {
        it->set_seeds(seeds);
        it->start();
    }
    for (const auto& it : all)
        if (!it->wait_until_ready(15'000))
            return not_run;
    if (has_trouble())
        for (int n = 0; n < foreign_entries; ++n)
        {
            const auto key = "a-" + std::to_string(n);
            rows.put("servers", key, foreign_value(n));
            log.line("another writer writes servers/" + key + ", " +
                     std::to_string(foreign_bytes) + " bytes");
        }
    sleep_ms(1000);
    const int before = send_lookups(log, all, "before", calls_before);
    // The final fault: all processes are killed, and are back after a second.
    log.line("all gateways are killed");
    for (const auto& it : all)
        it->kill();
    sleep_ms(1000);
    for (const auto& it : all)
        it->start();
    log.line("all gateways are back");
    sleep_ms(recovery_ms);
    const int after = send_lookups(log, all, "after", calls_after);
    if (before * 4 < calls_before)
        return not_run;
    return after * 4 < calls_after ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &play);
}
