#pragma once
/// \file
/// Remembers which incarnations of a target have said in a response that they leave.
/// Nothing but a newer incarnation takes that back: no announcement, list or later response.

#include <atomic>
#include <cstdint>

namespace kumquat {

/// The incarnations of one target that leave by their own word. Thread-safe; all incarnations of
/// the target share it, so that a late response of an old one says nothing about a newer one.
class TargetLeaving
{
public:
    /// Records that \p incarnation said that it leaves; true when that was not known.
    bool record(std::uint64_t incarnation)
    {
        std::uint64_t known = firstStaying_.load(std::memory_order_relaxed);
        while (known <= incarnation) {
            if (firstStaying_.compare_exchange_weak(known, incarnation + 1,
                                                    std::memory_order_relaxed)) {
                return true;
            }
        }
        return false;
    }

    /// True when \p incarnation, or a newer one, said that it leaves.
    bool covers(std::uint64_t incarnation) const
    {
        return incarnation < firstStaying_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> firstStaying_ { 0 }; ///< all incarnations before this one leave
};

} // namespace kumquat
