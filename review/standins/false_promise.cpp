#include "kit.hpp"

#include <memory>
#include <set>

// A server runs requests that must not be repeated and fails afterwards: it
// answers 503 without stating that it has not run them. The gateway passes the
// 503 on, which tells the client that its request has not run and never will.

namespace
{

using namespace review;

/// One of seven servers fails, a share of 0.14.
constexpr int servers = 7;
/// It fails four of each nine requests, a share of 0.44.
constexpr int failing_requests = 4;
constexpr int period = 9;
constexpr int clients = 3;
constexpr int disruption_ms = 6000;
constexpr int pause_ms = 30;
constexpr int deadline_ms = 4000;

int play(record& log)
{
    temporary_folder folder;
    store rows;
    rows.put("op", "config", configuration(4000));
    std::vector<std::unique_ptr<endpoint>> all;
    for (int n = 0; n < servers; ++n)
        all.push_back(
            std::make_unique<endpoint>(rows, log, "i-" + std::to_string(n), 6));
    int runs = 0;
    if (has_trouble())
        all.front()->set_status(
            [&runs](const request& it)
            {
                return it.method == "POST" && runs++ % period < failing_requests
                           ? 503
                           : 200;
            });
    gateway front("front-1", "z1", rows.address(), folder.path(), 182);
    front.start();
    if (!front.wait_until_ready(15'000))
        return not_run;
    std::mutex mutex;
    std::set<std::string> promised;
    int calls = 0;
    const auto end = now_ms() + disruption_ms;
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n)
        threads.emplace_back(
            [&, n]
            {
                for (int k = 0; now_ms() < end; ++k, sleep_ms(pause_ms))
                {
                    const auto attempt =
                        "c" + std::to_string(n) + "-" + std::to_string(k);
                    log.line("client sends POST /g/log attempt " + attempt);
                    const int status =
                        call(front.traffic(),
                             client_request("POST", "/g/log", attempt,
                                            "gate 4 to 30 %", deadline_ms),
                             deadline_ms);
                    log.line("client got " + std::to_string(status) + " for " +
                             attempt);
                    const std::lock_guard lock(mutex);
                    ++calls;
                    if (status == 503 || status == 429)
                        promised.insert(attempt);
                }
            });
    for (auto& it : threads)
        it.join();
    int broken = 0;
    for (const auto& it : all)
        for (const auto& [attempt, n] : it->runs())
            if (promised.contains(attempt))
            {
                ++broken;
                log.line("attempt " + attempt +
                         " was answered as not run and has run");
            }
    log.line(std::to_string(broken) + " of " + std::to_string(calls) +
             " requests were answered as not run and have run");
    return broken > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &play);
}
