#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace galenapulley
{

/// Collects what nodes logged about one request and prints it in order of
/// time, with the changes of state that its nodes saw meanwhile.
class log_story
{
public:
    explicit log_story(std::string request);

    /// Reads log lines; lines that are no log lines are passed over.
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
