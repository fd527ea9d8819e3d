#pragma once
/// \file
/// Defines the part of an organisation's quota that an entry uses while the owner does not answer.
/// It is a token bucket that fills only when the owner no longer grants the same tokens to others.

#include "common/Random.h"
#include "coordination/policy/QuotaLedger.h"

namespace kumquat {

class QuotaShare
{
public:
    /// The share fills from this long after the owner's last answer. It is shorter than
    /// QuotaLedger::contactTime, so that the requests of a lost entry soon pass again; until the
    /// owner keeps the share back, both grant it for the difference of these times.
    static constexpr Milliseconds fillsAfter { 500 };

    /// Adds the tokens of the time since the last call. \p shares is the number of entries,
    /// \p answeredAt the time of the owner's last answer.
    void refill(const QuotaLimit &limit, std::size_t shares, TimePoint answeredAt, TimePoint now);

    /// Takes a token. The share of one of many entries may never hold a whole one, so a part of a
    /// token is granted with that probability; what is missing has to be earned before the next.
    bool tryTake(Random &random, TimePoint now);

    /// Until a token is likely to be there; to be called after refill().
    Milliseconds retryAfter(const QuotaLimit &limit, std::size_t shares) const;

    std::uint64_t used() const { return used_; } ///< since the entry started

private:
    double tokens_ = 0; ///< negative after a part of a token was granted
    double threshold_ = 1; ///< random; with as many tokens, one is granted
    TimePoint thresholdDrawnAt_;
    TimePoint refilledAt_;
    std::uint64_t used_ = 0;
};

} // namespace kumquat
