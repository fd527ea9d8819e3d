#pragma once
/// \file
/// Bounds the retries and hedges of a service to a share of its requests.
/// Each request earns a share of a retry; each retry spends one.

#include <algorithm>
#include <atomic>

namespace kumquat {

class RetryBudget
{
public:
    /// Retries that may be saved up while nothing fails, unless set otherwise.
    static constexpr double defaultMost = 20;

    void setMost(double most) { most_.store(most, std::memory_order_relaxed); }
    void setShare(double share) { share_.store(share, std::memory_order_relaxed); }

    void earn()
    {
        double saved = saved_.load(std::memory_order_relaxed);
        double next = 0;
        do {
            next = std::min(most_.load(std::memory_order_relaxed),
                            saved + share_.load(std::memory_order_relaxed));
        } while (!saved_.compare_exchange_weak(saved, next, std::memory_order_relaxed));
    }

    bool trySpend()
    {
        double saved = saved_.load(std::memory_order_relaxed);
        do {
            if (saved < 1) {
                return false;
            }
        } while (!saved_.compare_exchange_weak(saved, saved - 1, std::memory_order_relaxed));
        return true;
    }

private:
    std::atomic<double> share_ { 0 };
    std::atomic<double> saved_ { defaultMost };
    std::atomic<double> most_ { defaultMost };
};

} // namespace kumquat
