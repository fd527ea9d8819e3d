#pragma once
/// \file
/// Limits the retries and hedges of a service to a ratio of its requests.
/// Each request deposits a fraction of a retry; each retry withdraws one.

#include <algorithm>
#include <atomic>

namespace kumquat {

/// A balance of retries, shared by all threads without a lock.
class RetryBudget
{
public:
    /// Retries that can be saved up for a burst of failures.
    static constexpr double defaultMaxBalance = 20;

    void setMaxBalance(double maxBalance)
    {
        maxBalance_.store(maxBalance, std::memory_order_relaxed);
    }
    void setRatio(double ratio) { ratio_.store(ratio, std::memory_order_relaxed); }

    /// Adds the ratio to the balance, up to the maximum; call it for each request.
    void deposit()
    {
        double balance = balance_.load(std::memory_order_relaxed);
        double next = 0;
        do {
            next = std::min(maxBalance_.load(std::memory_order_relaxed),
                            balance + ratio_.load(std::memory_order_relaxed));
        } while (!balance_.compare_exchange_weak(balance, next, std::memory_order_relaxed));
    }

    /// True when tryWithdraw() would succeed now.
    bool canWithdraw(double keptShare = 0) const
    {
        return balance_.load(std::memory_order_relaxed) >= neededBalance(keptShare);
    }

    /// Takes one retry from the balance and leaves at least \p keptShare of the largest balance;
    /// false when there is less.
    bool tryWithdraw(double keptShare = 0)
    {
        double balance = balance_.load(std::memory_order_relaxed);
        do {
            if (balance < neededBalance(keptShare)) {
                return false;
            }
        } while (!balance_.compare_exchange_weak(balance, balance - 1, std::memory_order_relaxed));
        return true;
    }

private:
    double neededBalance(double keptShare) const
    {
        return 1 + keptShare * (maxBalance_.load(std::memory_order_relaxed) - 1);
    }

    std::atomic<double> ratio_ { 0 };
    std::atomic<double> balance_ { defaultMaxBalance };
    std::atomic<double> maxBalance_ { defaultMaxBalance };
};

} // namespace kumquat
