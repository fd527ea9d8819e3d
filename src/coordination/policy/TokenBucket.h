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
    TokenBucket(double perSecond, double burst)
        : perSecond_(perSecond), burst_(burst), tokens_(burst)
    {
    }

    void setRate(double perSecond, double burst)
    {
        perSecond_ = perSecond;
        burst_ = burst;
        tokens_ = std::min(tokens_, burst);
    }

    bool trySpend(double tokens, TimePoint now)
    {
        if (filledAt_ != TimePoint()) {
            const double seconds = toMilliseconds(now - filledAt_) / 1000;
            tokens_ = std::min(burst_, tokens_ + std::max(0.0, seconds) * perSecond_);
        }
        filledAt_ = now;
        if (tokens_ < tokens) {
            return false;
        }
        tokens_ -= tokens;
        return true;
    }

private:
    double perSecond_;
    double burst_;
    double tokens_;
    TimePoint filledAt_;
};

} // namespace kumquat
