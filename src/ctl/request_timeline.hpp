#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace galenapulley
{

/// Collects the log lines about one request and prints them in order of time,
/// along with the state changes that the same nodes logged in that time.
class request_timeline
{
public:
    explicit request_timeline(std::string request);

    /// Reads log lines; skips text in other formats.
    void read(std::istream& in);
    /// Returns false if nothing was logged about the request.
    bool print(std::ostream& out) const;

private:
    struct entry
    {
        std::int64_t at = 0;
        std::string node;
        std::string event;
        std::string fields;
        bool about_request = false;
    };

    std::string request_;
    std::vector<entry> entries_;
};

} // namespace galenapulley
