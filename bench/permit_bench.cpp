// Permits through real peer sockets: processor time and bytes of request,
// grant and release by number of peers and of permits in flight.
#include "bench_support.hpp"
#include "galenapulley/clock.hpp"
#include "galenapulley/load_report.hpp"
#include "galenapulley/service.hpp"
#include "galenapulley/shard_scheduler.hpp"
#include "node/control_loop.hpp"
#include "node/peer_socket.hpp"
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

constexpr std::size_t permits = 20'000;
constexpr std::size_t engines = 14;
const std::string shard_name = "drafting/zone-0/0";

service make_service()
{
    service document;
    document.name = "drafting";
    document.classes = {{"short", 8'000, 30'000, 40}};
    document.customers.push_back({"customer-1", "", 1, 100'000});
    for (std::size_t n = 0; n < engines; ++n)
    {
        back_end it;
        it.name = "engine-" + std::to_string(n);
        it.zone = "zone-0";
        it.machine = "vm-" + std::to_string(n);
        it.slots = 64;
        it.cold_slots = 64;
        it.kv_tokens = 10'000'000;
        document.back_ends.push_back(it);
    }
    return document;
}

/// One shard owner and several requesting nodes in one process, on one control
/// loop.
class permit_bench
{
public:
    explicit permit_bench(std::size_t peers)
        : document_(make_service())
        , scheduler_(document_.shards().front(), time_, random_)
        , owner_(loop_,
                 {.address = "127.0.0.1:0", .node = "owner", .incarnation = 1},
                 [this](const wire::peer_message& it) { on_owner_message(it); })
    {
        scheduler_.set_service(document_);
        for (const auto& it : document_.back_ends)
            scheduler_.on_load_report(it.name, {});
        for (std::size_t n = 0; n < peers; ++n)
            peers_.push_back(std::make_unique<peer_socket>(
                loop_,
                peer_socket_options{.address = "127.0.0.1:0",
                                    .node = std::to_string(n),
                                    .incarnation = 1},
                [this, n](const wire::peer_message& it)
                { on_peer_message(n, it); }));
    }

    json run(std::size_t in_flight)
    {
        run_round(in_flight, permits / 10);
        const auto sent = owner_.traffic().bytes_sent;
        const auto received = owner_.traffic().bytes_received;
        const auto messages = owner_.traffic().messages_received;
        const auto start = bench::process_cpu_us();
        const auto control = bench::thread_cpu_us();
        run_round(in_flight, permits);
        const auto cpu = bench::process_cpu_us() - start;
        const auto control_cpu = bench::thread_cpu_us() - control;
        const auto n = static_cast<double>(permits);
        return {
            {"peers", peers_.size()},
            {"in_flight", in_flight},
            {"refused", refused_},
            {"cpu_us_per_permit_both_sides", cpu / n},
            {"loop_us_per_permit_both_sides", control_cpu / n},
            {"messages_received_per_permit",
             static_cast<double>(owner_.traffic().messages_received -
                                 messages) /
                 n},
            {"owner_bytes_received_per_permit",
             static_cast<double>(owner_.traffic().bytes_received - received) /
                 n},
            {"owner_bytes_sent_per_permit",
             static_cast<double>(owner_.traffic().bytes_sent - sent) / n}};
    }

private:
    void run_round(std::size_t in_flight, std::size_t count)
    {
        unsent_ = count;
        unreleased_ = count;
        loop_.post(
            [this, in_flight]
            {
                for (std::size_t n = 0; n < in_flight; ++n)
                    request_permit(n % peers_.size());
            });
        loop_.run();
    }

    void request_permit(std::size_t n)
    {
        if (unsent_ == 0)
            return;
        --unsent_;
        wire::peer_message message;
        auto& body = *message.mutable_permit_request();
        body.set_request(++last_);
        body.set_shard(shard_name);
        body.set_customer("customer-1");
        body.set_prompt_tokens(2000);
        body.set_output_tokens(300);
        body.set_time_left_ms(30'000);
        body.set_fingerprint(last_ * 7919);
        body.set_prefix(last_ % 100);
        peers_[n]->send(owner_.address(), std::move(message));
    }

    void on_owner_message(const wire::peer_message& message)
    {
        const permit_key key{.node = message.from(),
                             .incarnation = message.incarnation(),
                             .request =
                                 message.has_permit_request()
                                     ? message.permit_request().request()
                                     : message.permit_release().request()};
        if (message.has_permit_release())
        {
            scheduler_.release(key, {.first_token = 100, .output_tokens = 300});
            static_cast<void>(scheduler_.tick());
            return;
        }
        const auto& body = message.permit_request();
        permit_query query;
        query.key = key;
        query.customer = body.customer();
        query.prompt_tokens = body.prompt_tokens();
        query.output_tokens = body.output_tokens();
        query.deadline = time_.now() + body.time_left_ms();
        query.fingerprint = body.fingerprint();
        query.prefix = body.prefix();
        send_grant(message.from(), scheduler_.request(query));
    }

    void send_grant(const std::string& to, const permit_decision& decision)
    {
        wire::peer_message message;
        auto& body = *message.mutable_permit_grant();
        body.set_request(decision.key.request);
        body.set_shard(shard_name);
        body.set_epoch(7);
        body.set_free_slots(100);
        if (decision.state != permit_state::granted)
            ++refused_;
        for (const auto& it : decision.shares)
        {
            auto& share = *body.add_shares();
            share.set_back_end(it.back_end);
            share.set_tokens(it.tokens);
        }
        owner_.send(peers_[std::stoul(to)]->address(), std::move(message));
    }

    void on_peer_message(std::size_t n, const wire::peer_message& message)
    {
        wire::peer_message release;
        auto& body = *release.mutable_permit_release();
        body.set_request(message.permit_grant().request());
        body.set_shard(shard_name);
        body.set_first_token_ms(100);
        body.set_output_tokens(300);
        peers_[n]->send(owner_.address(), std::move(release));
        if (--unreleased_ == 0)
            loop_.stop();
        request_permit(n);
    }

    boot_time_clock time_;
    control_loop loop_{time_};
    shard_scheduler::generator random_{42};
    service document_;
    shard_scheduler scheduler_;
    peer_socket owner_;
    std::vector<std::unique_ptr<peer_socket>> peers_;
    std::uint64_t last_ = 0;
    std::size_t unsent_ = 0;
    std::size_t unreleased_ = 0;
    std::size_t refused_ = 0;
};

} // namespace

int main()
{
    json list = json::array();
    for (const std::size_t peers : {1, 8, 32})
        for (const std::size_t in_flight : {1, 32, 128})
            list.push_back(permit_bench(peers).run(in_flight));
    std::cout << list.dump(1) << "\n";
    return 0;
}
