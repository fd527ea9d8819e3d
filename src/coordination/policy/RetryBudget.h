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
    static constexpr double defaultMaxBalance = 20;

    void setMaxBalance(double maxBalance) { maxBalance_.store(maxBalance, std::memory_order_relaxed); }
    void setRatio(double ratio) { ratio_.store(ratio, std::memory_order_relaxed); }

    void deposit()
    {
        double balance = balance_.load(std::memory_order_relaxed);
        double next = 0;
        do {
            next = std::min(maxBalance_.load(std::memory_order_relaxed),
                            balance + ratio_.load(std::memory_order_relaxed));
        } while (!balance_.compare_exchange_weak(balance, next, std::memory_order_relaxed));
    }

    bool tryWithdraw()
    {
        double balance = balance_.load(std::memory_order_relaxed);
        do {
            if (balance < 1) {
                return false;
            }
        } while (!balance_.compare_exchange_weak(balance, balance - 1, std::memory_order_relaxed));
        return true;
    }

private:
    std::atomic<double> ratio_ { 0 };
    std::atomic<double> balance_ { defaultMaxBalance };
    std::atomic<double> maxBalance_ { defaultMaxBalance };
};

} // namespace kumquat
