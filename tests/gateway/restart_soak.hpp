#pragma once

#include "gateway/one_gateway.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace galenapulley::testing
{

/// Seed of the soak tests; CI runs them with the default.
inline std::uint64_t soak_seed()
{
    const char* const text = std::getenv("GALENAPULLEY_SOAK_SEED");
    return text == nullptr ? 1 : std::stoull(text);
}

/// A gateway that is stopped and started again. Its incarnations have
/// different names in the ids of attempts.
struct restarted_gateway
{
    std::unique_ptr<gateway_process> process;
    std::atomic<int> incarnation{1};
    /// It was told to stop and hasn't started again.
    std::atomic<bool> stopping{false};
};

struct attempt_end
{
    int status = 0;
    bool complete = false;
    /// The response is a stream.
    bool began_stream = false;
    /// The gateway served throughout.
    bool expected = false;
};

/// Endpoints that misbehave, restart and recover, behind gateways that are
/// stopped and started, while clients go on.
class restart_soak
{
public:
    /// Draws what an endpoint does next.
    using behaviour_choice =
        std::function<endpoint_behaviour(std::mt19937_64&)>;

    /// After a refusal, requests that were sent before may arrive for so long.
    static constexpr msec arrival_slack = 500;

    explicit restart_soak(behaviour_choice choose) : choose_(std::move(choose))
    {
        store_.put("op", "config", sample_configuration(1));
        std::vector<std::string> seeds;
        for (std::size_t n = 0; n < gateway_count; ++n)
        {
            auto& it = gateways_.at(n);
            it.process = std::make_unique<gateway_process>(
                "n" + std::to_string(n), n == 0 ? "west" : "east",
                store_.address(), seeds);
            seeds.push_back(it.process->peer());
            BOOST_TEST_REQUIRE(it.process->wait_until_ready());
        }
    }

    void run()
    {
        const auto end = time_.now() + soak_time;
        std::vector<std::thread> threads;
        for (std::size_t n = 0; n < client_count; ++n)
            threads.emplace_back([this, n, end] { send(n, end); });
        threads.emplace_back([this, end] { disturb_endpoints(end); });
        threads.emplace_back([this, end] { disturb_gateways(end); });
        for (auto& it : threads)
            it.join();
    }

    std::size_t served() const
    {
        return static_cast<std::size_t>(std::count_if(
            ends_.begin(), ends_.end(),
            [](const auto& it) { return it.second.status == 200; }));
    }

    /// Requests without a whole response although their gateway served
    /// throughout. Streams that began may break off.
    std::size_t unanswered() const
    {
        return static_cast<std::size_t>(std::count_if(
            ends_.begin(), ends_.end(),
            [](const auto& it)
            {
                return it.second.expected && !it.second.began_stream &&
                       !it.second.complete;
            }));
    }

    /// Largest memory of a gateway since its last start.
    std::size_t peak_memory() const
    {
        std::size_t most = 0;
        for (const auto& it : gateways_)
            most = std::max(most, it.process->process().peak_memory());
        return most;
    }

    /// Whether all gateways serve the requests of the soak once all endpoints
    /// are sound.
    bool recovers()
    {
        for (auto* const it : endpoints_)
            it->set({});
        return std::all_of(
            gateways_.begin(), gateways_.end(),
            [](const restarted_gateway& it) {
                return eventually(
                    [&] { return status_of(*it.process, "/i/x") == 200; });
            });
    }

    /// The most requests of one incarnation of a gateway that reached an
    /// endpoint during a pause that it had asked it for.
    std::ptrdiff_t most_late_arrivals() const
    {
        std::ptrdiff_t most = 0;
        for (const auto& endpoint : endpoints_)
        {
            const auto all = endpoint->received();
            for (const auto& refusal : all)
                if (refusal.asked_pause > 0)
                    most = std::max(most, late_arrivals(all, refusal));
        }
        return most;
    }

    /// Non-idempotent attempts that ran twice, or that ran although their
    /// client was told that they had not.
    std::size_t wrong_runs() const
    {
        std::map<std::string, int> runs;
        for (const auto& endpoint : endpoints_)
            for (const auto& it : endpoint->received())
                if (it.run && it.target == "/n/x")
                    ++runs[it.header("Galenapulley-Attempt-Id")];
        return static_cast<std::size_t>(std::count_if(
            runs.begin(), runs.end(),
            [this](const auto& it)
            {
                const auto end = ends_.find(it.first);
                const int status = end == ends_.end() ? 0 : end->second.status;
                return it.second > 1 || status == 503 || status == 429;
            }));
    }

private:
    static std::string sender(const received_request& it)
    {
        const auto attempt = it.header("Galenapulley-Attempt-Id");
        return attempt.substr(0, attempt.find('-'));
    }

    static std::ptrdiff_t
    late_arrivals(const std::vector<received_request>& all,
                  const received_request& refusal)
    {
        return std::count_if(all.begin(), all.end(),
                             [&](const received_request& it)
                             {
                                 return it.incarnation == refusal.incarnation &&
                                        sender(it) == sender(refusal) &&
                                        it.at > refusal.at + arrival_slack &&
                                        it.at <
                                            refusal.at + refusal.asked_pause;
                             });
    }

    void send(std::size_t client, msec end)
    {
        std::mt19937_64 random(soak_seed() * 1000 + client);
        std::unique_ptr<wire_client> kept;
        std::size_t kept_to = 0;
        for (int n = 0; time_.now() < end; ++n)
        {
            const bool reuse = kept && kept->connected() && random() % 4 != 0;
            if (!reuse)
            {
                kept_to = random() % gateway_count;
                kept = std::make_unique<wire_client>(
                    gateways_.at(kept_to).process->traffic());
            }
            send_one(*kept, reuse, kept_to,
                     std::to_string(client) + "-" + std::to_string(n), random);
            pause_for(static_cast<msec>(random() % 40));
        }
    }

    void send_one(wire_client& client, bool reused, std::size_t gateway,
                  const std::string& id, std::mt19937_64& random)
    {
        constexpr std::array<const char*, 3> targets{"/i/x", "/n/x", "/s/x"};
        auto& to = gateways_.at(gateway);
        const int incarnation = to.incarnation;
        const bool was_stopping = to.stopping;
        const auto attempt = "g" + std::to_string(gateway) + "." +
                             std::to_string(incarnation) + "-" + id;
        if (!client.connected() ||
            !client.send(
                sample_request("POST", targets.at(random() % 3), attempt)))
            return;
        const auto response = client.receive();
        if (!response.complete || response.header("Connection") == "close")
            client.close();
        const bool served_throughout =
            !was_stopping && !to.stopping && incarnation == to.incarnation;
        const std::lock_guard lock(mutex_);
        // A kept connection may have been closed before the request was sent.
        ends_[attempt] = {.status = response.status,
                          .complete = response.complete,
                          .began_stream = response.header("Content-Type") ==
                                          "text/event-stream",
                          .expected = served_throughout && !reused};
    }

    void disturb_endpoints(msec end)
    {
        std::mt19937_64 random(soak_seed() * 1000 + 101);
        while (time_.now() < end)
        {
            auto& it = *endpoints_.at(random() % endpoints_.size());
            switch (random() % 4)
            {
            case 0:
                it.set({});
                break;
            case 1:
                it.restart();
                break;
            default:
                it.set(choose_(random));
            }
            pause_for(100 + static_cast<msec>(random() % 300));
        }
    }

    void disturb_gateways(msec end)
    {
        std::mt19937_64 random(soak_seed() * 1000 + 102);
        while (time_.now() < end)
        {
            pause_for(500 + static_cast<msec>(random() % 1500));
            auto& it = gateways_.at(random() % gateway_count);
            if (random() % 2 == 0)
            {
                it.process->process().signal(SIGHUP);
                continue;
            }
            it.stopping = true;
            it.process->process().signal(random() % 3 == 0 ? SIGKILL : SIGTERM);
            it.process->process().wait(stop_limit);
            ++it.incarnation;
            it.process->process().start();
            it.process->wait_until_ready();
            it.stopping = false;
        }
    }

    static constexpr msec soak_time = 15'000;
    static constexpr msec stop_limit = 6000;
    static constexpr std::size_t client_count = 8;
    static constexpr std::size_t gateway_count = 3;

    behaviour_choice choose_;
    boot_time_clock time_;
    store_standin store_;
    endpoint_standin east_1_{store_, "i-e1", "svc", "east", {}};
    endpoint_standin east_2_{store_, "i-e2", "svc", "east", {}};
    endpoint_standin west_1_{store_, "i-w1", "svc", "west", {}};
    endpoint_standin west_2_{store_, "i-w2", "svc", "west", {}};
    std::array<endpoint_standin*, 4> endpoints_{&east_1_, &east_2_, &west_1_,
                                                &west_2_};
    std::array<restarted_gateway, gateway_count> gateways_;
    std::mutex mutex_;
    std::map<std::string, attempt_end> ends_;
};

} // namespace galenapulley::testing
