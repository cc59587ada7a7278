#pragma once

#include "galenapulley/node_rank.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

/// Why a node is in the serving set.
enum class serving_reason
{
    /// The fleet is so small that all of its nodes serve.
    small_fleet,
    /// One of the strongest nodes of its failure domain.
    domain_minimum,
    /// The request rate needs its capacity.
    request_rate,
    /// The request rate has needed it until recently.
    recent_rate
};

std::string_view name_of(serving_reason reason);

/// A live node that may serve clients.
struct serving_candidate
{
    ranked_node rank{};
    std::string failure_domain{};
    /// Client requests per second that it receives.
    double request_rate = 0;
};

struct serving_set_options
{
    /// Fleets of up to this size serve with all nodes.
    std::size_t small_fleet = 24;
    /// One node of a failure domain may drain while another one fails.
    std::size_t nodes_per_domain = 2;
    /// Processor time of one request.
    double processor_ms_per_request = 6;
    /// Utilization above which requests have to wait for the processor.
    double max_utilization = 0.5;
    /// A node stays in the set until the needed capacity has fallen by this
    /// factor, so that the set doesn't alternate with the rate.
    double release_factor = 1.3;
};

/// The nodes that the directory lists to clients. The other nodes are standbys:
/// they are ready, but take part in no announcement of work, so the cost of
/// coordination depends on the load and not on the size of the fleet. Each node
/// computes the set from its own view of the members. Nodes whose sets differ
/// for a while list different nodes; every node serves what it receives.
class serving_set
{
public:
    explicit serving_set(serving_set_options options = {});

    /// Recomputes the set from all live nodes; returns whether it has changed.
    bool update(const std::vector<serving_candidate>& live);

    bool contains(const std::string& node) const
    {
        return members_.contains(node);
    }
    const std::map<std::string, serving_reason>& members() const
    {
        return members_;
    }
    /// Whether some live nodes are standbys.
    bool has_standbys() const { return has_standbys_; }
    /// Requests per second of the whole fleet at the last update.
    double request_rate() const { return request_rate_; }

private:
    using member_map = std::map<std::string, serving_reason>;

    /// Strongest nodes first, up to the given capacity in cores.
    member_map choose(const std::vector<serving_candidate>& ranked,
                      double cores) const;

    serving_set_options options_;
    member_map members_;
    bool has_standbys_ = false;
    double request_rate_ = 0;
};

} // namespace galenapulley
