#include "node/known_tokens.hpp"

#include <utility>

namespace galenapulley
{

void known_tokens::set(std::set<std::string> sha256)
{
    const std::lock_guard lock(mutex_);
    is_set_ = true;
    sha256_ = std::move(sha256);
}

bool known_tokens::is_set() const
{
    const std::lock_guard lock(mutex_);
    return is_set_;
}

bool known_tokens::contains(const std::string& sha256) const
{
    const std::lock_guard lock(mutex_);
    return sha256_.count(sha256) != 0;
}

} // namespace galenapulley
