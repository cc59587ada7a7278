#include "../fakes/fake_table_service.hpp"
#include "../fakes/sample_documents.hpp"
#include "galenapulley/config_registry.hpp"
#include "galenapulley/config_sync.hpp"
#include "galenapulley/config_writer.hpp"
#include "galenapulley/counters.hpp"
#include "galenapulley/membership.hpp"
#include "galenapulley/node_lease.hpp"
#include "galenapulley/peer_link.hpp"
#include "galenapulley/service.hpp"
#include "galenapulley/shard_claims.hpp"
#include "galenapulley/view_freshness.hpp"
#include "node/config_manager.hpp"
#include "node/permit_manager.hpp"
#include "peer.pb.h"
#include "text_mutator.hpp"

#include <boost/test/unit_test.hpp>
#include <google/protobuf/stubs/logging.h>

#include <array>
#include <limits>
#include <memory>

using namespace galenapulley;
using galenapulley::testing::text_mutator;
using body = wire::peer_message;

namespace
{

// A document or an epoch of the highest version is never replaced, and later
// messages would find no service, so each run starts with a new node.
constexpr int runs = 100;
constexpr int messages_per_run = 300;

struct discarding_link final : peer_link
{
    void send(const std::string&, wire::peer_message message) override
    {
        sent += message.SerializeAsString().size();
    }

    std::size_t sent = 0;
};

/// Generates messages with plausible, extreme and random field values.
class message_generator
{
public:
    explicit message_generator(std::uint64_t seed) : random_(seed, {""}) {}

    wire::peer_message next()
    {
        static constexpr std::array fillers{
            &message_generator::fill_gossip,
            &message_generator::fill_config,
            &message_generator::fill_request,
            &message_generator::fill_permit_reply,
            &message_generator::fill_register,
            &message_generator::fill_release,
            &message_generator::fill_other};
        wire::peer_message message;
        message.set_from(name());
        message.set_incarnation(number());
        (this->*fillers.at(random_.below(fillers.size())))(message);
        return message;
    }

    text_mutator& random() { return random_; }

private:
    std::string name()
    {
        static const std::vector<std::string> names{"n1",
                                                    "n2",
                                                    "n3",
                                                    "drafting/ub-east/0",
                                                    "drafting/ub-east/1",
                                                    "records/ub-west/0",
                                                    "drafting",
                                                    "e1",
                                                    "e2",
                                                    "ub-authority",
                                                    "clerk",
                                                    "services/drafting",
                                                    "fleet",
                                                    "ub-east",
                                                    "//",
                                                    "",
                                                    "127.0.0.1:7001",
                                                    "\xc3\xa9",
                                                    "none/none/none"};
        return random_.below(50) == 0 ? std::string(3000, 'x')
                                      : names[random_.below(names.size())];
    }

    std::int64_t number()
    {
        using limits = std::numeric_limits<std::int64_t>;
        static constexpr std::array<std::int64_t, 12> numbers{0,
                                                              1,
                                                              2,
                                                              3,
                                                              8,
                                                              400,
                                                              8000,
                                                              4294967295,
                                                              1'000'000'000,
                                                              limits::max(),
                                                              -1,
                                                              limits::min()};
        return numbers.at(random_.below(numbers.size()));
    }

    std::uint32_t number32() { return static_cast<std::uint32_t>(number()); }
    /// A small range of ids, so that messages refer to the same requests.
    std::uint64_t request() { return 1 + random_.below(20); }
    std::size_t count() { return random_.below(4); }

    void fill_gossip(wire::peer_message& message)
    {
        auto& out = *message.mutable_gossip();
        for (auto n = count(); n > 0; --n)
        {
            auto& it = *out.add_members();
            it.set_node(name());
            it.set_zone(name());
            it.set_peer_address(name());
            it.set_listen_address(name());
            it.set_incarnation(number());
            it.set_heartbeat(number());
            it.set_leaving(number() == 0);
        }
        for (auto n = count(); n > 0; --n)
        {
            auto& it = *out.add_shard_owners();
            it.set_shard(name());
            it.set_node(name());
            it.set_epoch(number());
        }
        out.set_config_head(number());
        out.set_config_digest(number());
        out.set_store_read_age_ms(number());
        out.set_settled(number() == 1);
        out.set_is_reply(number() == 1);
    }

    void fill_document(wire::document& out)
    {
        const auto valid = random_.below(3) == 0;
        out.set_name(valid ? "services/drafting" : name());
        out.set_version(number());
        out.set_change_id(name());
        out.set_body(valid ? sample_service().dump() : name());
    }

    void fill_config(wire::peer_message& message)
    {
        switch (random_.below(4))
        {
        case 0:
            fill_document(*message.mutable_config_push()->add_documents());
            break;
        case 1:
            message.mutable_config_snapshot()->set_settled(true);
            fill_document(*message.mutable_config_snapshot()->add_documents());
            break;
        case 2:
        {
            auto& it = *message.mutable_config_pull()->add_known();
            it.set_name(name());
            it.set_version(number());
            break;
        }
        default:
        {
            auto& it = *message.mutable_config_ack()->add_documents();
            it.set_name(name());
            it.set_version(number());
            break;
        }
        }
    }

    void fill_request(wire::peer_message& message)
    {
        auto& out = *message.mutable_permit_request();
        out.set_request(request());
        out.set_shard(random_.below(4) == 0 ? name() : "drafting/ub-east/0");
        out.set_customer(name());
        out.set_length_class(number32());
        out.set_prompt_tokens(number32());
        out.set_output_tokens(number32());
        out.set_time_left_ms(number32());
        out.set_fingerprint(number());
        out.set_prefix(number());
        for (auto n = count(); n > 0; --n)
            out.add_excluded(name());
        out.set_is_retry(number() == 1);
    }

    void fill_grant(wire::permit_grant& out)
    {
        out.set_request(request());
        out.set_shard(name());
        out.set_epoch(number());
        out.set_free_slots(number32());
        for (auto n = count(); n > 0; --n)
        {
            auto& it = *out.add_shares();
            it.set_back_end(name());
            it.set_tokens(number32());
        }
    }

    void fill_permit_reply(wire::peer_message& message)
    {
        switch (random_.below(4))
        {
        case 0:
            fill_grant(*message.mutable_permit_grant());
            break;
        case 1:
        {
            auto& out = *message.mutable_permit_refusal();
            out.set_request(request());
            out.set_shard(name());
            out.set_error_kind(number32());
            out.set_retry_after_ms(number32());
            out.set_free_slots(number32());
            break;
        }
        case 2:
            message.mutable_permit_queued()->set_request(request());
            break;
        default:
            message.mutable_permit_keep_alive()->add_requests(request());
            break;
        }
    }

    void fill_register(wire::peer_message& message)
    {
        auto& out = *message.mutable_permit_register();
        out.set_shard(random_.below(4) == 0 ? name() : "drafting/ub-east/0");
        for (auto n = count(); n > 0; --n)
            fill_grant(*out.add_permits());
    }

    void fill_release(wire::peer_message& message)
    {
        auto& out = *message.mutable_permit_release();
        out.set_request(request());
        out.set_shard(random_.below(4) == 0 ? name() : "drafting/ub-east/0");
        out.set_result(static_cast<wire::outcome>(
            random_.below(4) == 0 ? static_cast<int>(number32())
                                  : static_cast<int>(random_.below(5))));
        out.set_first_token_ms(number32());
        out.set_output_tokens(number32());
        out.set_failed_back_end(name());
    }

    void fill_other(wire::peer_message& message)
    {
        switch (random_.below(2))
        {
        case 0:
        {
            auto& it = *message.mutable_strike()->add_strikes();
            it.set_fingerprint(number());
            it.set_crash_id(number());
            it.set_age_ms(number());
            break;
        }
        default:
            message.mutable_holder_query()->add_reservations(name());
            break;
        }
    }

    text_mutator random_;
};

/// The message handlers of a node that owns shards.
struct node_fixture
{
    node_fixture()
    {
        registry
            .apply({.name = "services/drafting",
                    .version = 1,
                    .change_id = "c1",
                    .body = sample_service().dump()})
            .IgnoreError();
        view.note_own_read(time.now());
        for (const auto* name : {"drafting/ub-east/0", "drafting/ub-west/0"})
            manager.on_shard_gained({.shard = name,
                                     .epoch = 1,
                                     .lapsed_owners = 0,
                                     .held = true,
                                     .claimed_at = time.now()});
    }

    /// Whether the service and the scheduler of its shard exist.
    bool has_service()
    {
        return registry.find_service("drafting") != nullptr &&
               manager.find_scheduler("drafting/ub-east/0") != nullptr;
    }

    /// Handles a message as the node does, then advances the time.
    void receive(const wire::peer_message& message)
    {
        if (message.has_gossip())
        {
            const auto& it = message.gossip();
            members.on_gossip(message.from(), it, time.now());
            for (const auto& owner : it.shard_owners())
            {
                members.note_shard_owner({.shard = owner.shard(),
                                          .node = owner.node(),
                                          .epoch = owner.epoch()});
                manager.on_owner_changed(owner.shard());
            }
            if (const auto proven = members.proven_time(it))
                view.note_peer_age(*proven, it.store_read_age_ms());
            config.on_peer_config(message.from(), it.config_head(),
                                  it.config_digest());
        }
        else
        {
            config.on_message(message, true);
            manager.on_message(message);
        }
        time.advance(7);
        view.note_own_read(time.now());
        view.tick(time.now(), {});
        members.tick(time.now());
        config.tick();
        manager.tick();
    }

    /// Requests a permit, so that later messages can refer to a pending
    /// request.
    void request_permit()
    {
        const auto target = registry.find_service("drafting");
        if (!target)
            return;
        permit_query query;
        query.customer = "clerk";
        query.prompt_tokens = 100;
        query.deadline = time.now() + 300;
        manager.request_permit(target, std::move(query), [](const auto&) {});
    }

    manual_clock time{100'000};
    fake_table_service table;
    config_registry registry;
    counters counts;
    discarding_link peers;
    membership members{{.node = "n1",
                        .zone = "ub-east",
                        .peer_address = "127.0.0.1:7001",
                        .listen_address = "127.0.0.1:8001",
                        .incarnation = 1,
                        .seeds = {}}};
    view_freshness view;
    crash_registry strikes;
    node_lease lease{time,
                     table,
                     {.node = "n1",
                      .incarnation = 1,
                      .zone = "ub-east",
                      .peer_address = "127.0.0.1:7001",
                      .listen_address = "127.0.0.1:8001",
                      .machine = "vm-1",
                      .terms = {}}};
    shard_claims claims{time, table, lease};
    config_sync sync{table, registry, time};
    config_writer writer{table, time};
    config_manager config{"ub-east",
                          {.time = time,
                           .registry = registry,
                           .sync = sync,
                           .writer = writer,
                           .members = members,
                           .peers = peers,
                           .counts = counts}};
    permit_manager manager{{.node = "n1", .incarnation = 1, .zone = "ub-east"},
                           {.time = time,
                            .registry = registry,
                            .members = members,
                            .claims = claims,
                            .freshness = view,
                            .crashes = strikes,
                            .peers = peers}};
};

} // namespace

// Guards against a message of a peer, such as one of another release, that
// terminates the node by an index or a value out of range.
BOOST_AUTO_TEST_CASE(any_valid_message_is_handled)
{
    message_generator generator(20261204);
    for (int run = 0; run < runs; ++run)
    {
        node_fixture node;
        BOOST_REQUIRE(node.has_service());
        for (int n = 0; n < messages_per_run; ++n)
        {
            if (n % 5 == 0)
                node.request_permit();
            const auto message = generator.next();
            wire::peer_message parsed;
            BOOST_REQUIRE(parsed.ParseFromString(message.SerializeAsString()));
            node.receive(parsed);
        }
        BOOST_TEST(node.peers.sent > 0U);
    }
}

// Guards against received bytes that terminate the node.
BOOST_AUTO_TEST_CASE(any_bytes_are_handled)
{
    // Protobuf would log every string that is not valid UTF-8.
    google::protobuf::SetLogHandler(nullptr);
    auto node = std::make_unique<node_fixture>();
    message_generator generator(4);
    int accepted = 0;
    for (int n = 0; n < runs * messages_per_run; ++n)
    {
        if (n % messages_per_run == 0)
            node = std::make_unique<node_fixture>();
        auto bytes = generator.next().SerializeAsString();
        for (auto edits = generator.random().below(4); edits > 0; --edits)
            if (const auto at = generator.random().below(bytes.size()); at > 0)
                bytes[at] = static_cast<char>(generator.random().below(256));
        if (generator.random().below(10) == 0)
            bytes = generator.random().random_bytes(60);
        wire::peer_message parsed;
        if (!parsed.ParseFromString(bytes) || parsed.from().empty())
            continue;
        ++accepted;
        node->receive(parsed);
    }
    BOOST_TEST(accepted > 1000);
}
