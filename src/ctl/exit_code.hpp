#pragma once

namespace galenapulley
{

/// Exit codes of the program's commands.
enum class exit_code
{
    done = 0,
    /// The request was refused and had no effect.
    refused = 1,
    /// The command line or a file is not valid; nothing was sent.
    usage = 2,
    /// No node could be reached; nothing was changed.
    unreachable = 3,
    /// A change may have taken effect.
    unknown = 4
};

} // namespace galenapulley
