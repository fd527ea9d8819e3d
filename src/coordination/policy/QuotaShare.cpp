#include "coordination/policy/QuotaShare.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace kumquat {

namespace {

constexpr double millisecondsPerSecond = 1'000;
/// What all entries together may use during short silences of the owner, as seconds of the rate, as
/// a part of the burst and in requests. The owner takes it from its bucket when it learns of it.
constexpr double overdraftSeconds = 0.1;
constexpr double overdraftOfBurst = 0.025;
constexpr double overdraftRequests = 5;
/// The time in which a used overdraft fills again.
constexpr double overdraftPeriodMs = 5'000;
/// Requests that a full share holds beyond its part of the burst, as seconds of the rate.
constexpr double shareSeconds = 0.2;
constexpr double longestRetryAfterMs = 5'000;
/// Twice the window in which the requests of all entries are bounded.
constexpr Seconds thresholdPeriod { 10 };

double overdraft(const QuotaLimit &limit)
{
    return limit.requestsPerSecond * overdraftSeconds + limit.burst * overdraftOfBurst
        + overdraftRequests;
}

} // namespace

void QuotaShare::refill(const QuotaLimit &limit, std::size_t shares, TimePoint answeredAt,
                        TimePoint now)
{
    const auto count = static_cast<double>(shares);
    const double allowed = overdraft(limit) / count;
    const TimePoint fillsFrom = answeredAt + fillsAfter;
    const TimePoint since = std::max(refilledAt_, fillsFrom);
    if (refilledAt_ == TimePoint()) {
        tokens_ = allowed;
    } else if (now <= fillsFrom) {
        const double elapsed = toMilliseconds(now - refilledAt_);
        tokens_ = std::min(allowed, tokens_ + elapsed * allowed / overdraftPeriodMs);
    } else {
        const double earned
            = toMilliseconds(now - since) * limit.requestsPerSecond / millisecondsPerSecond / count;
        const double full = (limit.burst + limit.requestsPerSecond * shareSeconds) / count;
        tokens_ = std::min(std::max(allowed, full), tokens_ + earned);
    }
    refilledAt_ = now;
}

// With a new threshold for each attempt, callers that repeat would get a whole token out of any
// part of one.
bool QuotaShare::tryTake(Random &random, TimePoint now)
{
    if (thresholdDrawnAt_ == TimePoint() || now - thresholdDrawnAt_ > thresholdPeriod) {
        threshold_ = 1 - std::uniform_real_distribution<double>(0, 1)(random);
        thresholdDrawnAt_ = now;
    }
    if (tokens_ < threshold_) {
        return false;
    }
    tokens_ -= 1;
    ++used_;
    return true;
}

Milliseconds QuotaShare::retryAfter(const QuotaLimit &limit, std::size_t shares) const
{
    const double rate = limit.requestsPerSecond / static_cast<double>(shares);
    const double waitMs
        = std::max(0.0, threshold_ - tokens_) / std::max(rate, 1e-3) * millisecondsPerSecond;
    return Milliseconds(static_cast<int>(std::ceil(std::min(waitMs, longestRetryAfterMs))));
}

} // namespace kumquat
