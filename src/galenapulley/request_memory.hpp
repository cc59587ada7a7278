#pragma once

#include <cstddef>
#include <cstdint>

namespace galenapulley
{

/// Bytes that requests and connections may use in a process with this memory
/// limit: what the process itself takes is left out.
std::size_t request_memory(std::uint64_t memory_mb);

/// Has the allocator return the memory of a large body to the system as soon as
/// the body is freed. Otherwise bodies of different sizes leave gaps that the
/// process keeps. Called before any thread starts.
void return_freed_memory();

} // namespace galenapulley
