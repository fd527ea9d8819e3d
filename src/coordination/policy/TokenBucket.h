#pragma once
/// \file
/// Defines a token bucket, which enforces a limit on a rate.
/// It limits gossip in bytes per second, and health probes and load probes in number per second.

#include "common/Time.h"

#include <algorithm>

namespace kumquat {

/// Refills at a constant rate up to a maximum. Not thread-safe.
class TokenBucket
{
public:
    /// Starts full; \p burst is the most that the bucket holds.
    TokenBucket(double tokensPerSecond, double burst)
        : tokensPerSecond_(tokensPerSecond), burst_(burst), tokens_(burst)
    {
    }

    void setRate(double tokensPerSecond, double burst)
    {
        tokensPerSecond_ = tokensPerSecond;
        burst_ = burst;
        tokens_ = std::min(tokens_, burst);
    }

    /// Takes \p tokens if there are as many; otherwise takes none and returns false.
    bool tryConsume(double tokens, TimePoint now)
    {
        if (refilledAt_ != TimePoint()) {
            const double seconds = toMilliseconds(now - refilledAt_) / 1000;
            tokens_ = std::min(burst_, tokens_ + std::max(0.0, seconds) * tokensPerSecond_);
        }
        refilledAt_ = now;
        if (tokens_ < tokens) {
            return false;
        }
        tokens_ -= tokens;
        return true;
    }

private:
    double tokensPerSecond_;
    double burst_;
    double tokens_;
    TimePoint refilledAt_;
};

} // namespace kumquat
