#pragma once
/// \file
/// Decides on the requests of organisations with a quota: as the owner, by asking it, or by a
/// share. Used on one thread; time and messages come from outside, so that many entries can be
/// simulated.

#include "coordination/entry/QuotaAccount.h"
#include "coordination/policy/QuotaEntries.h"
#include "kumquat/Configuration.h"
#include "protocol/QuotaMessage.h"

#include <unordered_map>

namespace kumquat {

struct QuotaHooks
{
    std::function<void(const std::string &address, const std::string &payload)> send;
    /// False when this entry's list of entries may be outdated, so that it must not own a quota.
    /// Always true for an entry that follows no control group.
    std::function<bool(TimePoint now)> mayOwn;
    std::function<void(const QuotaAccount &account, const std::string &ownerBefore)> ownerChanged;
    /// Called when an account begins or ceases to use its share.
    std::function<void(const QuotaAccount &account, TimePoint now)> shareUseChanged;
    /// Called when untilTick() becomes shorter between two calls of tick().
    std::function<void()> tickNeeded;
};

class QuotaExchange
{
public:
    /// Between two calls of tick() while a question or a request waits for an answer.
    static constexpr Milliseconds tickInterval { 10 };
    /// A question is repeated after this time without an answer, or after twice the time of the
    /// last answer when that is longer.
    static constexpr Milliseconds answerTimeout { 40 };
    /// An owner that has not answered a question for this long is out of contact, and its entries
    /// use their shares.
    static constexpr Milliseconds silenceLimit { QuotaShare::fillsAfter };
    /// An unused token expires after this time: it counts in the window in which it was granted.
    static constexpr Milliseconds unusedTime { 100 };

    /// \p self is this entry's report address, empty when entries exchange no messages.
    QuotaExchange(std::string self, QuotaHooks hooks, std::uint64_t seed);

    void setOrganisations(const std::vector<Organisation> &organisations, TimePoint now);
    /// Sets the report addresses of the live entries, including this one.
    void setEntries(const std::vector<std::string> &addresses, TimePoint now);

    /// Calls \p done at once or later, no later than one tickInterval after \p until.
    void request(const std::string &organisation, TimePoint now, TimePoint until, QuotaDone done);
    /// Takes back a token whose request reached no target.
    void giveBack(const std::string &organisation, TimePoint now);

    /// Returns false when \p payload is no message about quotas.
    bool receive(const std::string &payload, TimePoint now);
    void tick(TimePoint now);
    /// From one call of tick() to the next, at most.
    Milliseconds untilTick() const;

    bool hasQuotas() const { return !accounts_.empty(); }
    const std::map<std::string, QuotaAccount> &accounts() const { return accounts_; }

private:
    /// True when no other entry can use a quota.
    bool isAlone(TimePoint now) const;
    bool ownsNow(const QuotaAccount &account, TimePoint now) const;
    void findOwner(QuotaAccount &account, TimePoint now);
    QuotaAccount *findAccount(std::uint64_t hash);

    void decide(QuotaAccount &account, const QuotaDone &done, const QuotaDecision &decision);
    void decideAsOwner(QuotaAccount &account, const QuotaDone &done, TimePoint now);
    void decideByShare(QuotaAccount &account, const QuotaDone &done, TimePoint now);
    void decideAtLimit(QuotaAccount &account, const QuotaDone &done, TimePoint now);
    void refuse(QuotaAccount &account, const QuotaDone &done, Milliseconds retryAfter,
                TimePoint now);
    QuotaDecision refusal(const QuotaAccount &account, Milliseconds retryAfter, TimePoint now);
    bool tryTakeShare(QuotaAccount &account, const QuotaDone &done, TimePoint now);
    /// Calls \p decideOne for the oldest waiting requests until \p left of them remain.
    template <typename DecideOne>
    static void decideWaiting(QuotaAccount &account, std::size_t left, DecideOne decideOne);
    void expireWaiting(QuotaAccount &account, TimePoint now);
    bool takeUnused(QuotaAccount &account, TimePoint now);
    void addUnused(QuotaAccount &account, std::uint32_t tokens, TimePoint now);
    static void expireUnused(QuotaAccount &account, TimePoint now);

    void ask(QuotaAccount &account, TimePoint now);
    void sendQuestion(const QuotaAccount &account, const SentQuotaQuestion &question,
                      TimePoint now);
    QuotaAsk questionOf(const QuotaAccount &account, TimePoint now) const;
    void tickAsOwner(QuotaAccount &account, TimePoint now);
    void repeatQuestions(QuotaAccount &account, TimePoint now);
    void checkContact(QuotaAccount &account, TimePoint now);
    void setUsesShare(QuotaAccount &account, bool usesShare, TimePoint now);
    void needTick();
    bool needsTick(const QuotaAccount &account) const;
    void keepContact(TimePoint now);
    void sendContacts(const std::string &owner, const std::vector<QuotaAccount *> &accounts,
                      TimePoint now);

    void answer(const QuotaAskMessage &message, TimePoint now);
    QuotaGrant grantFor(const QuotaAskMessage &message, const QuotaAsk &ask, TimePoint now);
    void applyGrant(const QuotaAnswerMessage &message, const QuotaGrant &grant, TimePoint now);
    void applyTokens(QuotaAccount &account, const SentQuotaQuestion &question,
                     const QuotaGrant &grant, TimePoint now);
    void recordContact(QuotaAccount &account, const SentQuotaQuestion &question, TimePoint now);

    std::string self_;
    QuotaHooks hooks_;
    Random random_;
    QuotaEntries entries_;
    std::map<std::string, QuotaAccount> accounts_; ///< by the organisation's name
    std::unordered_map<std::uint64_t, std::string> names_; ///< by their hash
    bool needsTick_ = false; ///< a question or a request waits
    std::uint64_t lastNumber_; ///< starts anywhere, so that a restarted entry repeats no number
};

template <typename DecideOne>
void QuotaExchange::decideWaiting(QuotaAccount &account, std::size_t left, DecideOne decideOne)
{
    while (account.waiting.size() > left) {
        const QuotaDone done = std::move(account.waiting.front().done);
        account.waiting.pop_front();
        decideOne(done);
    }
}

} // namespace kumquat
