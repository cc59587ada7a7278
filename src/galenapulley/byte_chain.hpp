#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace galenapulley
{

/// A growing sequence of bytes in blocks, which are never copied to grow. A
/// string needs up to three times its size while it grows.
class byte_chain
{
public:
    static constexpr std::size_t block_bytes = std::size_t{16} * 1024;

    void append(std::string_view bytes);
    std::size_t size() const { return size_; }
    const std::vector<std::string>& blocks() const { return blocks_; }

private:
    std::vector<std::string> blocks_;
    std::size_t size_ = 0;
};

} // namespace galenapulley
