#pragma once
/// \file
/// Limits the bytes that one thread holds of responses that are still being read.
/// Targets may send without end; each response and all together must stay within a process's
/// memory.

#include <algorithm>
#include <cstddef>

namespace kumquat {

class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit) : limit_(limit) { }

    std::size_t available() const { return limit_ - held_; }
    void take(std::size_t bytes) { held_ += std::min(bytes, available()); }
    void giveBack(std::size_t bytes) { held_ -= std::min(bytes, held_); }

private:
    const std::size_t limit_;
    std::size_t held_ = 0;
};

} // namespace kumquat
