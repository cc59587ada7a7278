#include "kit.hpp"

#include <memory>

// For four seconds two of four servers lose part of their answers. The gateway
// counts each lost answer as a crash that the lookup has caused, and refuses
// the lookup for ten minutes, although all servers are sound.

namespace
{

using namespace review;

/// Two of four servers, a share of 0.5.
constexpr int servers = 4;
constexpr int failing_servers = 2;
/// They lose two of five answers, a share of 0.4.
constexpr int lost_answers = 2;
constexpr int period = 5;
constexpr int disruption_ms = 4000;
/// After it, the requests go on for so long.
constexpr int calm_ms = 50'000;
/// Requests of each kind: three a second.
constexpr int pause_ms = 333;
constexpr int deadline_ms = 4000;

struct kind
{
    std::string method;
    std::string target;
    int sent = 0;
    int served = 0;

    double share() const
    {
        return sent == 0 ? 0 : static_cast<double>(served) / sent;
    }
};

void send_requests(record& log, const gateway& to, kind& of, std::int64_t end)
{
    while (now_ms() < end)
    {
        const auto attempt = of.method + std::to_string(of.sent);
        log.line("client sends " + of.method + ' ' + of.target + " attempt " +
                 attempt);
        const int status =
            call(to.traffic(),
                 client_request(of.method, of.target, attempt,
                                of.method == "GET"
                                    ? ""
                                    : "gate 4, note " + std::to_string(of.sent),
                                deadline_ms),
                 deadline_ms);
        log.line("client got " + std::to_string(status) + " for " + attempt);
        ++of.sent;
        of.served += status == 200 ? 1 : 0;
        sleep_ms(pause_ms);
    }
    log.line(of.method + ' ' + of.target + ": " + std::to_string(of.served) +
             " of " + std::to_string(of.sent) + " served");
}

int play(record& log)
{
    temporary_folder folder;
    store rows;
    rows.put("op", "config", configuration(4000));
    std::atomic<bool> is_failing{false};
    std::vector<std::unique_ptr<endpoint>> all;
    std::vector<int> runs(servers);
    for (int n = 0; n < servers; ++n)
    {
        all.push_back(
            std::make_unique<endpoint>(rows, log, "i-" + std::to_string(n), 6));
        if (n < failing_servers)
            all.back()->set_status(
                [&is_failing,
                 &count = runs[static_cast<std::size_t>(n)]](const request&) {
                    return is_failing && count++ % period < lost_answers ? 0
                                                                         : 200;
                });
    }
    gateway front("front-1", "z1", rows.address(), folder.path(), 182);
    front.start();
    if (!front.wait_until_ready(15'000))
        return not_run;
    const auto start = now_ms();
    const auto end = start + disruption_ms + calm_ms;
    kind lookup{.method = "GET", .target = "/l/counts"};
    kind gate{.method = "POST", .target = "/g/log"};
    is_failing = has_trouble();
    log.line(is_failing ? "two servers begin to lose answers"
                        : "all servers are sound");
    std::thread lookups([&] { send_requests(log, front, lookup, end); });
    std::thread gates([&] { send_requests(log, front, gate, end); });
    sleep_ms(disruption_ms);
    is_failing = false;
    log.line("all servers are sound from now on");
    lookups.join();
    gates.join();
    const double whole = static_cast<double>(lookup.served + gate.served) /
                         (lookup.sent + gate.sent);
    log.line("served: lookups " + std::to_string(lookup.share()) +
             ", all requests " + std::to_string(whole));
    return lookup.share() < whole / 4 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &play);
}
