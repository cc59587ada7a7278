#pragma once

#include <mutex>
#include <set>
#include <string>

namespace galenapulley
{

/// Hashes of the bearer tokens that the documents in force and the settings
/// name. Large bodies are read for their holders only. May be used from any
/// thread.
class known_tokens
{
public:
    /// Replaces the tokens.
    void set(std::set<std::string> sha256);
    /// Whether set() was called.
    bool is_set() const;
    bool contains(const std::string& sha256) const;

private:
    mutable std::mutex mutex_;
    bool is_set_ = false;
    std::set<std::string> sha256_;
};

} // namespace galenapulley
