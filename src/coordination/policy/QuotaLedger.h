#pragma once
/// \file
/// Defines the token bucket that the owner of an organisation's quota keeps for all entries.
/// It grants only what the entries without contact to the owner cannot use as their own shares.

#include "common/Time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace kumquat {

struct QuotaLimit
{
    double requestsPerSecond = 0;
    double burst = 0;

    bool operator==(const QuotaLimit &other) const
    {
        return requestsPerSecond == other.requestsPerSecond && burst == other.burst;
    }
};

/// What an entry tells the owner with a question.
struct QuotaQuestion
{
    std::uint64_t number = 0; ///< a repetition has the number of a recent question
    std::uint32_t wanted = 0;
    std::uint32_t returned = 0;
    std::uint64_t usedOfShare = 0; ///< since the entry started
    Milliseconds answerAge { 0 }; ///< since the entry had an answer of this owner
};

struct QuotaReply
{
    std::uint32_t granted = 0;
    Milliseconds retryAfter { 0 }; ///< when fewer were granted than wanted
};

class QuotaLedger
{
public:
    /// An entry whose last known answer is older may use its share.
    static constexpr Milliseconds contactTime { 750 };
    /// An owner that did not run for longer starts again with an empty bucket.
    static constexpr Milliseconds longestPause { 300 };

    /// Starts empty: another entry may have granted the tokens of the time before.
    QuotaLedger(const QuotaLimit &limit, TimePoint now) : limit_(limit), refilledAt_(now) { }

    /// Keeps the tokens up to the new burst.
    void setLimit(const QuotaLimit &limit);

    /// Adds the tokens of the time since the last call; \p shares is the number of entries.
    /// To be called more often than every longestPause.
    void refill(std::size_t shares, TimePoint now);

    /// Takes tokens for an entry's question; to be called after refill().
    QuotaReply answer(const std::string &entry, const QuotaQuestion &question, TimePoint now);

    /// Takes tokens for a request of the owner itself; to be called after refill().
    QuotaReply take(std::uint32_t wanted);
    void giveBack(std::uint32_t tokens);

    double tokens() const { return tokens_; }
    /// The part of the rate that the owner may grant at present.
    double grantedPart() const { return part_; }

private:
    struct RecentReply
    {
        std::uint64_t number = 0;
        QuotaReply reply;
    };

    struct Contact
    {
        TimePoint heardAt;
        TimePoint answeredAt; ///< the latest time at which the entry certainly had an answer
        std::uint64_t usedOfShare = 0;
        double reserved = 0; ///< tokens kept back for the entry's share
        std::deque<RecentReply> recent; ///< to questions that may be repeated
    };

    double capacity() const;
    void settle(Contact &contact, const QuotaQuestion &question);

    QuotaLimit limit_;
    TimePoint refilledAt_;
    double tokens_ = 0;
    double part_ = 1;
    std::unordered_map<std::string, Contact> contacts_;
};

} // namespace kumquat
