#include "gateway/restart_soak.hpp"

using namespace galenapulley;
using namespace galenapulley::testing;

namespace
{

/// Time within which a confirmed change has to be in force, counted from the
/// change or from the end of the faults, whichever is later.
constexpr msec apply_limit = 2000;
constexpr int rounds = 12;
constexpr std::size_t domain_nodes = 3;
constexpr msec min_fault_time = 100;
constexpr msec max_fault_time = 600;

/// Faults of the store and of nodes in series, two at a time, and a change of
/// the configuration in each of them.
class store_faults_soak
{
public:
    store_faults_soak()
    {
        store_.put("op", "config", sample_configuration(version_));
        for (const auto* const domain : {"east", "west"})
            for (std::size_t n = 0; n < domain_nodes; ++n)
            {
                nodes_.push_back({.domain = domain});
                start(nodes_.back());
            }
        put_configuration();
        BOOST_TEST_REQUIRE(eventually([this] { return is_in_force(); }));
        backup_ = store_.backup();
    }

    void run_round()
    {
        const auto& first = draw_fault();
        const auto& second = draw_fault();
        BOOST_TEST_CONTEXT(first.name << ", " << second.name << ", version "
                                      << version_)
        {
            const auto backup = store_.backup();
            (this->*first.begin)();
            (this->*second.begin)();
            BOOST_TEST(old_configurations() == 0);
            const bool change_first = random_() % 2 == 0;
            if (change_first)
                put_configuration();
            pause_for(draw(min_fault_time, max_fault_time));
            end_faults();
            if (!change_first)
                put_configuration();
            BOOST_TEST(
                eventually([this] { return is_in_force(); }, apply_limit));
            backup_ = backup;
        }
    }

private:
    struct node
    {
        std::string domain;
        std::unique_ptr<gateway_process> process{};
        bool paused = false;
    };

    struct fault
    {
        std::string_view name;
        void (store_faults_soak::*begin)();
    };

    static constexpr std::size_t fault_count = 9;
    static const std::array<fault, fault_count> faults;

    void lose_responses() { store_.set_mode(store_mode::losing); }
    void refuse() { store_.set_mode(store_mode::refusing); }
    void reset() { store_.set_mode(store_mode::resetting); }
    void restore_with_watches() { store_.restore(backup_, open_watches::kept); }
    void restore() { store_.restore(backup_); }
    void drop_history() { store_.drop_history(); }
    void lose_read()
    {
        store_.lose_next_read("op");
        store_.drop_history();
    }
    void stop_node()
    {
        auto& it = draw_node();
        it.paused = true;
        it.process->process().signal(SIGSTOP);
    }
    /// It starts again once the faults have ended.
    void kill_node()
    {
        auto& it = draw_node();
        it.process->process().signal(SIGKILL);
        it.process.reset();
        it.paused = false;
    }

    void end_faults()
    {
        store_.set_mode(store_mode::normal);
        for (auto& it : nodes_)
        {
            if (it.paused)
                it.process->process().signal(SIGCONT);
            it.paused = false;
            if (!it.process)
                start(it);
        }
    }

    void start(node& it)
    {
        std::vector<std::string> seeds;
        for (const auto& other : nodes_)
            if (other.process)
                seeds.push_back(other.process->peer());
        it.process = std::make_unique<gateway_process>(
            "n" + std::to_string(++started_), it.domain, store_.address(),
            seeds);
        BOOST_TEST_REQUIRE(it.process->wait_until_ready());
    }

    void put_configuration()
    {
        version_ += 2 + random_() % 3;
        store_.put("op", "config", sample_configuration(version_, route()));
    }

    std::string route() const { return "/r" + std::to_string(version_) + "/"; }

    bool serves_route(const node& it) const
    {
        return status_of(*it.process, route() + "x") == 200;
    }

    bool is_in_force() const
    {
        return std::all_of(nodes_.begin(), nodes_.end(),
                           [this](const node& it) { return serves_route(it); });
    }

    /// Running nodes that don't know the route of the newest configuration.
    std::ptrdiff_t old_configurations() const
    {
        return std::count_if(nodes_.begin(), nodes_.end(),
                             [this](const node& it) {
                                 return it.process && !it.paused &&
                                        !serves_route(it);
                             });
    }

    const fault& draw_fault() { return faults.at(random_() % faults.size()); }

    /// A running node; at least one keeps what the store loses.
    node& draw_node()
    {
        for (;;)
        {
            auto& it = nodes_.at(random_() % nodes_.size());
            if (it.process && !it.paused)
                return it;
        }
    }

    msec draw(msec from, msec to)
    {
        return from + static_cast<msec>(random_() %
                                        static_cast<std::uint64_t>(to - from));
    }

    std::mt19937_64 random_{soak_seed()};
    store_standin store_;
    endpoint_standin east_{store_, "i-east", "svc", "east", {}};
    endpoint_standin west_{store_, "i-west", "svc", "west", {}};
    std::vector<node> nodes_;
    int started_ = 0;
    std::uint64_t version_ = 1;
    /// Contents of the store before the last change.
    store_backup backup_;
};

const std::array<store_faults_soak::fault, store_faults_soak::fault_count>
    store_faults_soak::faults{{
        {"responses lost", &store_faults_soak::lose_responses},
        {"refusing", &store_faults_soak::refuse},
        {"resetting", &store_faults_soak::reset},
        {"restored, watches kept", &store_faults_soak::restore_with_watches},
        {"restored", &store_faults_soak::restore},
        {"history dropped", &store_faults_soak::drop_history},
        {"read lost", &store_faults_soak::lose_read},
        {"node stopped", &store_faults_soak::stop_node},
        {"node killed", &store_faults_soak::kill_node},
    }};

} // namespace

// Guards against confirmed configurations that are late, or come back older,
// whichever responses, watches, history or rows the store loses, while nodes
// are stopped and killed.
BOOST_AUTO_TEST_CASE(configurations_are_in_force_in_time_through_faults)
{
    store_faults_soak soak;
    for (int n = 0; n < rounds; ++n)
        soak.run_round();
}
