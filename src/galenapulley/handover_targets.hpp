#pragma once

#include "galenapulley/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenapulley
{

/// Another node that may take requests from this one.
struct peer_gateway
{
    /// Where it serves clients.
    std::string address;
    /// Processor capacity in thousandths of a core; 0 if unknown.
    std::uint32_t capacity = 0;
};

/// Chooses the nodes to which a node that is partitioned from the endpoints
/// hands its requests over, by what they report of their own links.
class handover_targets
{
public:
    /// Sets the live nodes of the serving set, other than this one.
    void set_peers(std::map<std::string, peer_gateway> peers);
    /// A peer has reported when it last reached an endpoint, if ever, and
    /// whether it is partitioned itself.
    void on_report(const std::string& node, std::optional<msec> contact_at,
                   bool partitioned);
    /// The peer refused a request, or wasn't reached. Others are preferred
    /// until it reports again.
    void on_refused(const std::string& node);

    /// A peer that is likely to reach endpoints, or null. `draw` is random;
    /// peers are chosen in proportion to their capacity.
    const std::pair<const std::string, peer_gateway>*
    choose(msec partitioned_at, msec now, std::uint64_t draw) const;

    std::size_t size() const { return peers_.size(); }

    /// A peer that reached an endpoint this long before the partition was
    /// noticed, or later, isn't taken to be partitioned as well.
    static constexpr msec detection_time = 500;
    /// Longest time since the last contact of a peer that is preferred.
    static constexpr msec recent_contact = 3000;

private:
    struct report
    {
        std::optional<msec> contact_at{};
        bool partitioned = false;
    };
    using peer = std::pair<const std::string, peer_gateway>;

    /// Peers with a recent contact, or without one all that aren't known to be
    /// partitioned.
    std::vector<const peer*> candidates(msec partitioned_at, msec now) const;

    std::map<std::string, peer_gateway> peers_;
    std::map<std::string, report> reports_;
};

} // namespace galenapulley
