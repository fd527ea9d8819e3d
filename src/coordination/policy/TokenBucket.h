#pragma once
/// \file
/// Defines a token bucket: a hard bound on a rate, whatever is spent.
/// It bounds gossip in bytes a second and probes in probes a second.

#include "common/Time.h"

#include <algorithm>

namespace kumquat {

class TokenBucket
{
public:
    /// \p perSecond tokens flow in, at most \p burst are saved.
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
