#include "galenapulley/partition_detector.hpp"

#include <algorithm>

namespace galenapulley
{

partition_detector::change
partition_detector::on_connected(endpoint_key key, msec began_at,
                                 std::size_t endpoints)
{
    last_contact_ = std::max(last_contact_.value_or(began_at), began_at);
    std::erase_if(failed_,
                  [began_at](const auto& it) { return it.second <= began_at; });
    if (!partitioned_at_ || began_at < *partitioned_at_)
        return change::none;
    regained_.insert(key);
    if (regained_.size() < std::min(regained_endpoints, endpoints))
        return change::none;
    partitioned_at_.reset();
    regained_.clear();
    failed_.clear();
    return change::ended;
}

partition_detector::change
partition_detector::on_unreachable(endpoint_key key, msec began_at, msec now,
                                   std::size_t endpoints)
{
    regained_.clear();
    if (last_contact_ && began_at < *last_contact_)
        return change::none;
    failed_[key] = began_at;
    std::erase_if(failed_, [now](const auto& it)
                  { return now - it.second > failure_window; });
    if (partitioned_at_ ||
        failed_.size() < std::min(failed_endpoints, endpoints))
        return change::none;
    partitioned_at_ = now;
    return change::began;
}

} // namespace galenapulley
