#include "kit.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <thread>

// Clients upload bodies of the allowed size at the same time. The gateway
// counts a body against its memory only once it has all of it, so the uploads
// in progress exceed the limit, at which the platform kills the process.

namespace
{

using namespace review;

constexpr int gateways = 2;
/// Requests of a wave without and with the burst, which is 2.9 times the usual
/// traffic of a class.
constexpr int usual_requests = 52;
constexpr int burst_requests = 150;
constexpr int waves = 3;
constexpr int memory_mb = 182;
/// MaxBodyBytes of the configuration.
constexpr std::size_t body_bytes = 4'194'304;
/// The requests of a wave begin within this time.
constexpr int begin_ms = 3000;
/// A client sends a part of its body in each period: 1 MB/s, at most 75 MB/s to
/// a machine whose link carries 87 MB/s.
constexpr int parts = 20;
constexpr int part_ms = 200;
constexpr int deadline_ms = 15'000;
constexpr int restart_ms = 500;
constexpr int ends_that_break = 3;
constexpr int machines_that_break = 2;

/// Kills a gateway above its memory limit, as the platform does, and starts it
/// again.
class platform
{
public:
    platform(record& log, std::vector<gateway*> all)
        : log_(log)
        , all_(std::move(all))
        , ends_(all_.size())
        , peaks_(all_.size())
        , restart_at_(all_.size())
    {
        thread_ = std::thread([this] { watch(); });
    }

    ~platform()
    {
        stopping_ = true;
        thread_.join();
    }

    /// Number of machines on which the process has ended three times.
    int broken_machines() const
    {
        int out = 0;
        for (std::size_t n = 0; n < all_.size(); ++n)
        {
            log_.line(all_[n]->name() + ": ended by itself " +
                      std::to_string(ends_[n]) + " times, largest memory " +
                      std::to_string(peaks_[n] >> 20) + " MB of " +
                      std::to_string(memory_mb));
            out += ends_[n] >= ends_that_break ? 1 : 0;
        }
        return out;
    }

private:
    void watch()
    {
        while (!stopping_)
        {
            for (std::size_t n = 0; n < all_.size(); ++n)
                check(n);
            sleep_ms(5);
        }
    }

    void check(std::size_t n)
    {
        auto& it = *all_[n];
        if (restart_at_[n] > 0)
        {
            if (now_ms() < restart_at_[n])
                return;
            restart_at_[n] = 0;
            it.start();
        }
        const bool died = !it.runs();
        const auto memory = it.memory();
        peaks_[n] = std::max(peaks_[n], memory);
        const bool is_over = memory > std::uint64_t{memory_mb} << 20;
        if (!died && !is_over)
            return;
        log_.line(it.name() + (is_over ? " is over its memory limit: " +
                                             std::to_string(memory >> 20) +
                                             " MB; the platform kills it"
                                       : " has ended"));
        it.kill();
        ++ends_[n];
        restart_at_[n] = now_ms() + restart_ms;
    }

    record& log_;
    std::vector<gateway*> all_;
    std::vector<int> ends_;
    std::vector<std::uint64_t> peaks_;
    /// When to start a gateway that was killed; 0 while it runs.
    std::vector<std::int64_t> restart_at_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// Returns the status; 0 for a connection that ended without a response.
int upload(const std::string& address, const std::string& text)
{
    const int socket = connect_to(address);
    if (socket < 0)
        return 0;
    const auto part = text.size() / parts + 1;
    bool sent = true;
    for (std::size_t at = 0; sent && at < text.size(); at += part)
    {
        sent = write_all(socket, text.substr(at, part));
        sleep_ms(part_ms);
    }
    const int status = read_status(socket, deadline_ms);
    ::close(socket);
    return status;
}

void play_wave(record& log, const std::vector<gateway*>& live, int wave)
{
    const int requests = has_trouble() ? burst_requests : usual_requests;
    const std::string body(body_bytes, 'b');
    std::vector<std::thread> threads;
    for (int n = 0; n < requests; ++n)
        threads.emplace_back(
            [&, n]
            {
                sleep_ms(static_cast<std::int64_t>(n) * begin_ms / requests);
                const auto attempt =
                    "w" + std::to_string(wave) + "-" + std::to_string(n);
                const auto& to =
                    *live[static_cast<std::size_t>(n) % live.size()];
                log.line("client sends POST /g/x attempt " + attempt + " to " +
                         to.name() + ", " + std::to_string(body.size()) +
                         " bytes");
                const int status =
                    upload(to.traffic(), client_request("POST", "/g/x", attempt,
                                                        body, deadline_ms));
                log.line("client got " +
                         (status == 0 ? std::string("a closed connection")
                                      : std::to_string(status)) +
                         " for " + attempt);
            });
    for (auto& it : threads)
        it.join();
}

int play(record& log)
{
    temporary_folder folder;
    store rows;
    rows.put("op", "config", configuration(deadline_ms));
    std::vector<std::unique_ptr<endpoint>> servers;
    for (int n = 0; n < 3; ++n)
        servers.push_back(std::make_unique<endpoint>(
            rows, log, "i-" + std::to_string(n), 16));
    std::vector<std::unique_ptr<gateway>> all;
    std::vector<std::string> seeds;
    for (int n = 0; n < gateways; ++n)
    {
        all.push_back(std::make_unique<gateway>(
            "front-" + std::to_string(n), "z" + std::to_string(n % 3),
            rows.address(), folder.path(), memory_mb));
        if (n < 3)
            seeds.push_back(all.back()->peer());
    }
    for (const auto& it : all)
    {
        it->set_seeds(seeds);
        it->start();
    }
    for (const auto& it : all)
        if (!it->wait_until_ready(20'000))
            return not_run;
    std::vector<gateway*> live;
    for (int n = 0; n < gateways; ++n)
        live.push_back(all[static_cast<std::size_t>(n)].get());
    sleep_ms(2000);
    platform limits(log, live);
    for (int wave = 1; wave <= waves; ++wave)
    {
        log.line("wave " + std::to_string(wave));
        play_wave(log, live, wave);
        for (const auto* it : live)
            if (!const_cast<gateway*>(it)->wait_until_ready(15'000))
                return not_run;
        sleep_ms(1000);
    }
    return limits.broken_machines() >= machines_that_break ? rule_broken
                                                           : rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, &play);
}
