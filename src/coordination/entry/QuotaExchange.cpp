#include "coordination/entry/QuotaExchange.h"

#include "protocol/Codec.h"

#include <algorithm>
#include <limits>

namespace kumquat {

namespace {

/// Between two messages to an owner whose answers arrive; a third of QuotaLedger::contactTime, so
/// that one may be lost.
constexpr Milliseconds contactInterval { 250 };
/// Between two messages to an owner that answers late or not at all. With answers after up to
/// 0.3 s, the last answered question is then never older than silenceLimit.
constexpr Milliseconds lateContactInterval { 100 };
/// Between two ticks while nothing waits: half the contactInterval.
constexpr Milliseconds idleTickInterval { 125 };
/// The same of an owner, whose ledger starts again after a pause of QuotaLedger::longestPause.
constexpr Milliseconds ownerTickInterval { 50 };
/// From a question that has no answer yet to the next one.
constexpr Milliseconds furtherQuestionAfter { 20 };
/// After a refusal without a decision; the answer that was late may serve the next request.
constexpr Milliseconds undecidedRetryAfter { 50 };
/// The shortest Retry-After; callers that come back earlier share the same question.
constexpr Milliseconds shortestRetryAfter { 5 };
/// So that a message fits into one datagram.
constexpr std::size_t maxAsksPerMessage = 24;

/// The first question that was sent after the last answered one; null when there is none.
const SentQuotaQuestion *oldestUnanswered(const QuotaAccount &account)
{
    const auto found = std::find_if(
        account.questions.begin(), account.questions.end(),
        [&account](const auto &question) { return question.sentAt > account.answeredAt; });
    return found == account.questions.end() ? nullptr : &*found;
}

} // namespace

QuotaExchange::QuotaExchange(std::string self, QuotaHooks hooks, std::uint64_t seed)
    : self_(std::move(self)), hooks_(std::move(hooks)), random_(seed), lastNumber_(random_())
{
}

void QuotaExchange::setOrganisations(const std::vector<Organisation> &organisations, TimePoint now)
{
    std::map<std::string, QuotaAccount> accounts;
    names_.clear();
    for (const Organisation &organisation : organisations) {
        if (organisation.requestsPerSecond <= 0) {
            continue;
        }
        const auto before = accounts_.find(organisation.name);
        QuotaAccount account
            = before == accounts_.end() ? QuotaAccount() : std::move(before->second);
        account.name = organisation.name;
        account.hash = subsetHash(organisation.name);
        account.limit = { organisation.requestsPerSecond, organisation.burst };
        if (account.ledger) {
            account.ledger->setLimit(account.limit);
        }
        names_[account.hash] = account.name;
        findOwner(account, now);
        accounts.emplace(account.name, std::move(account));
    }
    accounts_.swap(accounts);
    for (auto &removed : accounts) {
        decideWaiting(removed.second, 0,
                      [](const QuotaDone &done) { done(QuotaDecision::grant()); });
    }
}

void QuotaExchange::setEntries(const std::vector<std::string> &addresses, TimePoint now)
{
    entries_.setLive(addresses, now);
    for (auto &account : accounts_) {
        findOwner(account.second, now);
    }
}

bool QuotaExchange::isAlone(TimePoint now) const
{
    return self_.empty() || (entries_.liveCount() == 1 && entries_.shareCount(now) == 1);
}

// An entry that is alone in its list may have been cut off from the control group before others
// came. Without a report address there are no other entries.
bool QuotaExchange::ownsNow(const QuotaAccount &account, TimePoint now) const
{
    return account.ledger && (self_.empty() || hooks_.mayOwn(now));
}

void QuotaExchange::findOwner(QuotaAccount &account, TimePoint now)
{
    const std::string before = account.owner;
    account.owner = isAlone(now) ? self_ : entries_.ownerOf(account.hash);
    const bool isOwn = account.owner == self_;
    if (!isOwn) {
        account.ledger = nullptr;
    } else if (!account.ledger) {
        account.ledger = std::make_unique<QuotaLedger>(account.limit, now);
    }
    if (account.owner == before) {
        return;
    }
    // What waits asks the new owner with the next tick; the former one's answers are no longer
    // valid.
    account.questions.clear();
    account.expired = 0;
    account.deniedUntil = TimePoint();
    account.contactedAt = TimePoint();
    account.answeredAt = account.answeredAt == TimePoint() ? now : account.answeredAt;
    setUsesShare(account, false, now);
    hooks_.ownerChanged(account, before);
    needTick();
}

QuotaAccount *QuotaExchange::findAccount(std::uint64_t hash)
{
    const auto name = names_.find(hash);
    return name == names_.end() ? nullptr : &accounts_.at(name->second);
}

// Decisions.

void QuotaExchange::request(const std::string &organisation, TimePoint now, TimePoint until,
                            QuotaDone done)
{
    const auto found = accounts_.find(organisation);
    if (found == accounts_.end()) {
        done(QuotaDecision::grant());
        return;
    }
    QuotaAccount &account = found->second;
    if (takeUnused(account, now)) {
        decide(account, done, QuotaDecision::grant());
    } else if (account.ledger) {
        decideAsOwner(account, done, now);
    } else if (account.usesShare || account.owner.empty()) {
        decideByShare(account, done, now);
    } else if (now < account.deniedUntil) {
        refuse(account, done, std::chrono::duration_cast<Milliseconds>(account.deniedUntil - now),
               now);
    } else {
        account.waiting.push_back({ std::move(done), until });
        ask(account, now);
        needTick();
    }
}

void QuotaExchange::decide(QuotaAccount &account, const QuotaDone &done,
                           const QuotaDecision &decision)
{
    account.counters.granted += decision.granted ? 1 : 0;
    account.counters.refused += decision.granted || decision.isUndecided ? 0 : 1;
    account.counters.grantedOfShare += decision.granted && decision.ofShare ? 1 : 0;
    done(decision);
}

void QuotaExchange::decideAsOwner(QuotaAccount &account, const QuotaDone &done, TimePoint now)
{
    if (!ownsNow(account, now)) {
        decideByShare(account, done, now);
        return;
    }
    account.ledger->refill(entries_.shareCount(now), now);
    const QuotaReply reply = account.ledger->take(1);
    if (reply.granted > 0) {
        decide(account, done, QuotaDecision::grant());
    } else {
        refuse(account, done, reply.retryAfter, now);
    }
}

bool QuotaExchange::tryTakeShare(QuotaAccount &account, const QuotaDone &done, TimePoint now)
{
    account.share.refill(account.limit, entries_.shareCount(now), account.answeredAt, now);
    if (!account.share.tryTake(random_, now)) {
        return false;
    }
    decide(account, done, QuotaDecision::grant(true));
    return true;
}

void QuotaExchange::decideByShare(QuotaAccount &account, const QuotaDone &done, TimePoint now)
{
    if (!tryTakeShare(account, done, now)) {
        const std::size_t shares = entries_.shareCount(now);
        refuse(account, done, account.share.retryAfter(account.limit, shares), now);
    }
}

// The owner is in contact, so an empty share does not mean that the quota is used up.
void QuotaExchange::decideAtLimit(QuotaAccount &account, const QuotaDone &done, TimePoint now)
{
    if (!tryTakeShare(account, done, now)) {
        QuotaDecision decision = refusal(account, undecidedRetryAfter, now);
        decision.isUndecided = true;
        decide(account, done, decision);
    }
}

void QuotaExchange::refuse(QuotaAccount &account, const QuotaDone &done, Milliseconds retryAfter,
                           TimePoint now)
{
    decide(account, done, refusal(account, retryAfter, now));
}

// Callers that were refused together return over a period of the same length as the pause.
QuotaDecision QuotaExchange::refusal(const QuotaAccount &account, Milliseconds retryAfter,
                                     TimePoint now)
{
    const Milliseconds pause = std::max(retryAfter, shortestRetryAfter);
    const auto spread = randomBelow(random_, static_cast<std::size_t>(pause.count()) + 1);
    QuotaDecision decision;
    decision.retryAfter = pause + Milliseconds(spread);
    decision.ofShare = account.usesShare;
    decision.inputs.owner = account.owner;
    decision.inputs.answerAge = std::chrono::duration_cast<Milliseconds>(now - account.answeredAt);
    decision.inputs.granted = account.counters.granted;
    decision.inputs.asked = account.counters.granted + account.counters.refused + 1;
    return decision;
}

// Unused tokens.

bool QuotaExchange::takeUnused(QuotaAccount &account, TimePoint now)
{
    expireUnused(account, now);
    if (account.unused == 0) {
        return false;
    }
    --account.unused;
    return true;
}

void QuotaExchange::addUnused(QuotaAccount &account, std::uint32_t tokens, TimePoint now)
{
    expireUnused(account, now);
    if (account.unused == 0) {
        account.unusedUntil = now + unusedTime;
    }
    account.unused += tokens;
}

void QuotaExchange::expireUnused(QuotaAccount &account, TimePoint now)
{
    if (account.unused > 0 && now >= account.unusedUntil) {
        account.expired += account.unused;
        account.unused = 0;
    }
}

void QuotaExchange::giveBack(const std::string &organisation, TimePoint now)
{
    const auto found = accounts_.find(organisation);
    if (found == accounts_.end()) {
        return;
    }
    if (found->second.ledger) {
        found->second.ledger->giveBack(1);
    } else {
        addUnused(found->second, 1, now);
    }
}

// Questions to the owner.

// Requests that arrive while a question is in flight share the next, which is sent with the answer
// or, when that is late, after furtherQuestionAfter.
void QuotaExchange::ask(QuotaAccount &account, TimePoint now)
{
    const std::size_t asked = wantedTokens(account);
    if (account.waiting.size() <= asked) {
        return;
    }
    const auto isRecent = [now](const SentQuotaQuestion &question) {
        return question.wanted > 0 && now - question.sentAt < furtherQuestionAfter;
    };
    if (std::any_of(account.questions.begin(), account.questions.end(), isRecent)) {
        return;
    }
    expireUnused(account, now);
    SentQuotaQuestion question;
    question.number = ++lastNumber_;
    question.wanted = static_cast<std::uint32_t>(account.waiting.size() - asked);
    question.returned = account.expired;
    question.sentAt = now;
    // An owner that is only slow has to answer each repetition as well.
    question.repeatAfter = std::max(answerTimeout, 2 * account.answerTime);
    account.expired = 0;
    account.contactedAt = now;
    account.questions.push_back(question);
    sendQuestion(account, question, now);
}

QuotaAsk QuotaExchange::questionOf(const QuotaAccount &account, TimePoint now) const
{
    constexpr double longest = std::numeric_limits<std::uint32_t>::max();
    const double age = std::min(longest, toMilliseconds(now - account.answeredAt));
    // Before the owner's first answer there is no contact that it could count on.
    const bool hasAnswer = account.answeredOwner == account.owner;
    return { account.hash, 0, 0, account.share.used(),
             static_cast<std::uint32_t>(hasAnswer ? age : longest) };
}

void QuotaExchange::sendQuestion(const QuotaAccount &account, const SentQuotaQuestion &question,
                                 TimePoint now)
{
    QuotaAskMessage message;
    message.from = self_;
    message.number = question.number;
    QuotaAsk ask = questionOf(account, now);
    ask.wanted = question.wanted;
    ask.returned = question.returned;
    message.asks.push_back(ask);
    hooks_.send(account.owner, pack(message));
}

void QuotaExchange::repeatQuestions(QuotaAccount &account, TimePoint now)
{
    for (SentQuotaQuestion &question : account.questions) {
        if (question.wanted > 0 && now - question.sentAt >= question.repeatAfter) {
            question.repeatAfter *= 2;
            sendQuestion(account, question, now);
        }
    }
}

void QuotaExchange::checkContact(QuotaAccount &account, TimePoint now)
{
    const SentQuotaQuestion *oldest = oldestUnanswered(account);
    if (oldest != nullptr && now - oldest->sentAt >= silenceLimit) {
        account.counters.ownerSilent += account.usesShare ? 0 : 1;
        setUsesShare(account, true, now);
    }
    while (!account.questions.empty() && now - account.questions.front().sentAt >= silenceLimit) {
        account.questions.pop_front();
    }
}

void QuotaExchange::expireWaiting(QuotaAccount &account, TimePoint now)
{
    std::deque<WaitingQuotaRequest> waiting;
    waiting.swap(account.waiting);
    for (WaitingQuotaRequest &request : waiting) {
        if (now < request.until) {
            account.waiting.push_back(std::move(request));
        } else {
            decideAtLimit(account, request.done, now);
        }
    }
}

// Requests wait no longer once the owner is out of contact.
void QuotaExchange::setUsesShare(QuotaAccount &account, bool usesShare, TimePoint now)
{
    if (account.usesShare == usesShare) {
        return;
    }
    account.usesShare = usesShare;
    hooks_.shareUseChanged(account, now);
    if (usesShare) {
        decideWaiting(account, 0,
                      [&](const QuotaDone &done) { decideByShare(account, done, now); });
    }
}

void QuotaExchange::tick(TimePoint now)
{
    for (auto &entry : accounts_) {
        QuotaAccount &account = entry.second;
        if (account.ledger) {
            tickAsOwner(account, now);
            continue;
        }
        checkContact(account, now);
        expireWaiting(account, now);
        repeatQuestions(account, now);
        ask(account, now);
    }
    keepContact(now);
    needsTick_ = std::any_of(accounts_.begin(), accounts_.end(),
                             [this](const auto &entry) { return needsTick(entry.second); });
}

void QuotaExchange::tickAsOwner(QuotaAccount &account, TimePoint now)
{
    // Requests that waited for the answer of a former owner.
    decideWaiting(account, 0, [&](const QuotaDone &done) { decideAsOwner(account, done, now); });
    const bool owns = ownsNow(account, now);
    setUsesShare(account, !owns, now);
    if (owns) {
        account.answeredAt = now;
        account.ledger->refill(entries_.shareCount(now), now);
    }
}

Milliseconds QuotaExchange::untilTick() const
{
    if (needsTick_) {
        return tickInterval;
    }
    const bool isOwner = std::any_of(accounts_.begin(), accounts_.end(), [](const auto &entry) {
        return entry.second.ledger != nullptr;
    });
    return isOwner ? ownerTickInterval : idleTickInterval;
}

void QuotaExchange::needTick()
{
    if (!needsTick_) {
        needsTick_ = true;
        hooks_.tickNeeded();
    }
}

bool QuotaExchange::needsTick(const QuotaAccount &account) const
{
    const bool isContactDue
        = !account.ledger && !account.owner.empty() && account.contactedAt == TimePoint();
    return !account.waiting.empty() || wantedTokens(account) > 0 || isContactDue;
}

// Tells each owner that its answers arrive, in one message for all its organisations.
void QuotaExchange::keepContact(TimePoint now)
{
    std::map<std::string, std::vector<QuotaAccount *>> accountsByOwner;
    for (auto &entry : accounts_) {
        QuotaAccount &account = entry.second;
        const SentQuotaQuestion *oldest = oldestUnanswered(account);
        const bool isLate
            = account.usesShare || (oldest != nullptr && now - oldest->sentAt >= answerTimeout);
        const Milliseconds interval = isLate ? lateContactInterval : contactInterval;
        const bool isDue = now - account.contactedAt >= interval;
        if (!account.ledger && !account.owner.empty() && isDue) {
            accountsByOwner[account.owner].push_back(&account);
        }
    }
    for (const auto &accounts : accountsByOwner) {
        sendContacts(accounts.first, accounts.second, now);
    }
}

void QuotaExchange::sendContacts(const std::string &owner,
                                 const std::vector<QuotaAccount *> &accounts, TimePoint now)
{
    for (std::size_t begin = 0; begin < accounts.size(); begin += maxAsksPerMessage) {
        const std::size_t end = std::min(accounts.size(), begin + maxAsksPerMessage);
        QuotaAskMessage message;
        message.from = self_;
        message.number = ++lastNumber_;
        for (std::size_t i = begin; i < end; ++i) {
            QuotaAccount &account = *accounts[i];
            expireUnused(account, now);
            QuotaAsk ask = questionOf(account, now);
            ask.returned = account.expired;
            account.expired = 0;
            account.contactedAt = now;
            account.questions.push_back({ message.number, 0, ask.returned, now, Milliseconds(0) });
            message.asks.push_back(ask);
        }
        hooks_.send(owner, pack(message));
    }
}

} // namespace kumquat
