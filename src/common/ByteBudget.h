#pragma once
/// \file
/// Limits the bytes that one thread holds of messages that come from other processes.
/// Peers may send without end; each message and all together must stay within a process's memory.

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

/// The part of a budget that one message holds; given back when this object ends.
class HeldBytes
{
public:
    explicit HeldBytes(ByteBudget &budget) : budget_(budget) { }
    ~HeldBytes() { budget_.giveBack(held_); }
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    std::size_t held() const { return held_; }

    /// Holds \p bytes in all, unless it holds more already; false when the budget has no room.
    bool growTo(std::size_t bytes)
    {
        const std::size_t more = bytes - std::min(bytes, held_);
        if (more > budget_.available()) {
            return false;
        }
        budget_.take(more);
        held_ += more;
        return true;
    }

private:
    ByteBudget &budget_;
    std::size_t held_ = 0;
};

} // namespace kumquat
