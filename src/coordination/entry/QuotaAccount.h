#pragma once
/// \file
/// Defines what an entry knows of the quota of one organisation.
/// The entry is the owner when `ledger` is set; otherwise it asks `owner`.

#include "coordination/policy/QuotaLedger.h"
#include "coordination/policy/QuotaShare.h"

#include <deque>
#include <functional>
#include <memory>

namespace kumquat {

/// The decision on one request, with its reason for the log.
struct QuotaDecision
{
    bool granted = false;
    /// Refused without knowing whether there is room in the quota.
    bool isUndecided = false;
    Milliseconds retryAfter { 0 };
    bool ofShare = false; ///< decided without the owner
    /// For the log of a refusal: the owner, the age of its last answer, and the counts so far.
    struct Inputs
    {
        std::string owner;
        Milliseconds answerAge { 0 };
        std::uint64_t granted = 0;
        std::uint64_t asked = 0;
    } inputs;

    static QuotaDecision grant(bool ofShare = false)
    {
        QuotaDecision decision;
        decision.granted = true;
        decision.ofShare = ofShare;
        return decision;
    }
};

using QuotaDone = std::function<void(const QuotaDecision &)>;

struct WaitingQuotaRequest
{
    QuotaDone done;
    TimePoint until; ///< without an answer it is decided without the owner then
};

/// A question to the owner that has no answer yet.
struct SentQuotaQuestion
{
    std::uint64_t number = 0;
    std::uint32_t wanted = 0; ///< 0: it only keeps the contact
    std::uint32_t returned = 0;
    TimePoint sentAt; ///< first
    Milliseconds repeatAfter { 0 };
};

struct QuotaCounters
{
    std::uint64_t granted = 0;
    std::uint64_t refused = 0; ///< without those that got no decision
    std::uint64_t grantedOfShare = 0; ///< part of `granted`
    std::uint64_t ownerSilent = 0; ///< times that the owner counted as out of contact
};

struct QuotaAccount
{
    std::string name;
    std::uint64_t hash = 0;
    QuotaLimit limit;
    std::string owner; ///< report address; empty when no entry is known
    std::unique_ptr<QuotaLedger> ledger;
    QuotaShare share;
    std::deque<WaitingQuotaRequest> waiting;

    std::deque<SentQuotaQuestion> questions; ///< oldest first

    TimePoint answeredAt; ///< when the last question was sent that an owner answered
    std::string answeredOwner; ///< that owner
    Milliseconds answerTime { 0 }; ///< of the last answer
    TimePoint contactedAt; ///< when the last question was sent; none: a question is due at once
    bool usesShare = false; ///< the owner is out of contact or denied to be the owner
    TimePoint deniedUntil; ///< the owner has said that there is no room before
    std::uint32_t unused = 0; ///< tokens granted and not used
    TimePoint unusedUntil;
    std::uint32_t expired = 0; ///< unused tokens to be returned to the owner
    QuotaCounters counters;
};

/// Tokens that were asked for and are not answered.
inline std::size_t wantedTokens(const QuotaAccount &account)
{
    std::size_t wanted = 0;
    for (const SentQuotaQuestion &question : account.questions) {
        wanted += question.wanted;
    }
    return wanted;
}

} // namespace kumquat
