#include "coordination/policy/QuotaLedger.h"

#include <algorithm>
#include <cmath>

namespace kumquat {

namespace {

/// A contact that is silent for longer is forgotten; its next question starts a new account.
constexpr Milliseconds contactMemory { 60'000 };
/// An entry sends a question while the last is unanswered only every 20 ms, and repeats none that
/// is 500 ms old.
constexpr std::size_t maxRecentReplies = 32;
constexpr Milliseconds longestRetryAfter { 5'000 };
constexpr double millisecondsPerSecond = 1'000;
constexpr double questionSeconds = 0.02;

} // namespace

// A bucket must hold one token to grant any, and the tokens of the time that a question takes,
// which would otherwise be lost while an organisation sends more than its quota.
double QuotaLedger::capacity() const
{
    return limit_.burst + 1 + limit_.requestsPerSecond * questionSeconds;
}

void QuotaLedger::setLimit(const QuotaLimit &limit)
{
    limit_ = limit;
    tokens_ = std::min(tokens_, capacity());
}

// The owner itself counts as in contact. Whoever has no confirmed contact may use its share, so the
// owner keeps back the tokens of that share.
void QuotaLedger::refill(std::size_t shares, TimePoint now)
{
    const Clock::duration elapsed = now - refilledAt_;
    refilledAt_ = now;
    const double earned = limit_.requestsPerSecond * std::max(0.0, toMilliseconds(elapsed))
        / millisecondsPerSecond / static_cast<double>(shares);
    std::size_t inContact = 1;
    for (auto contact = contacts_.begin(); contact != contacts_.end();) {
        const bool hasContact = now - contact->second.answeredAt < contactTime;
        const bool isForgotten = now - contact->second.heardAt > contactMemory;
        inContact += hasContact ? 1 : 0;
        contact->second.reserved = hasContact ? 0 : contact->second.reserved + earned;
        contact = isForgotten ? contacts_.erase(contact) : std::next(contact);
    }
    inContact = std::min(inContact, shares);
    part_ = static_cast<double>(inContact) / static_cast<double>(shares);
    if (elapsed > longestPause) {
        // The entries have used their shares meanwhile.
        tokens_ = std::min(tokens_, 0.0);
        return;
    }
    tokens_ = std::min(capacity(), tokens_ + earned * static_cast<double>(inContact));
}

// Takes the tokens that the entry used without the owner, as far as none were kept back for them.
void QuotaLedger::settle(Contact &contact, const QuotaQuestion &question)
{
    if (question.usedOfShare < contact.usedOfShare) {
        contact.usedOfShare = question.usedOfShare; // the entry has restarted
    }
    const auto used = static_cast<double>(question.usedOfShare - contact.usedOfShare);
    const double owed = std::max(0.0, used - contact.reserved);
    contact.reserved = std::max(0.0, contact.reserved - used);
    contact.usedOfShare = question.usedOfShare;
    const double lowest = -(limit_.requestsPerSecond + limit_.burst);
    tokens_ = std::max(std::min(tokens_, lowest), tokens_ - owed);
}

QuotaReply QuotaLedger::answer(const std::string &entry, const QuotaQuestion &question,
                               TimePoint now)
{
    const bool isNew = contacts_.count(entry) == 0;
    Contact &contact = contacts_[entry];
    for (const RecentReply &recent : contact.recent) {
        if (recent.number == question.number) {
            return recent.reply;
        }
    }
    contact.heardAt = now;
    contact.usedOfShare = isNew ? question.usedOfShare : contact.usedOfShare;
    settle(contact, question);
    contact.answeredAt = std::max(contact.answeredAt, now - question.answerAge);
    giveBack(question.returned);
    const QuotaReply reply = take(question.wanted);
    if (question.wanted > 0) {
        contact.recent.push_back({ question.number, reply });
        if (contact.recent.size() > maxRecentReplies) {
            contact.recent.pop_front();
        }
    }
    return reply;
}

QuotaReply QuotaLedger::take(std::uint32_t wanted)
{
    QuotaReply reply;
    reply.granted = static_cast<std::uint32_t>(
        std::min(static_cast<double>(wanted), std::floor(std::max(0.0, tokens_))));
    tokens_ -= reply.granted;
    if (reply.granted < wanted) {
        const double rate = std::max(limit_.requestsPerSecond * part_, 1e-3);
        const double waitMs = std::max(0.0, 1 - tokens_) / rate * millisecondsPerSecond;
        const double longest = static_cast<double>(longestRetryAfter.count());
        reply.retryAfter = Milliseconds(static_cast<int>(std::ceil(std::min(waitMs, longest))));
    }
    return reply;
}

void QuotaLedger::giveBack(std::uint32_t tokens)
{
    tokens_ = std::min(capacity(), tokens_ + tokens);
}

} // namespace kumquat
