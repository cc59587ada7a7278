#include "galenapulley/join_progress.hpp"

namespace galenapulley
{

void join_progress::on_round(std::size_t known, msec now)
{
    if (!began_at_)
        began_at_ = now;
    const auto limit = (1 + max_growth) * static_cast<double>(known_);
    const bool has_settled = known_ > 0 && static_cast<double>(known) <= limit;
    complete_ = complete_ || has_settled || now - *began_at_ >= max_time;
    known_ = known;
}

} // namespace galenapulley
