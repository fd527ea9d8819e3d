// How an entry answers questions about quotas, as the owner, and takes the answers to its own.
#include "coordination/entry/QuotaExchange.h"
#include "protocol/Codec.h"

#include <algorithm>

namespace kumquat {

namespace {

/// A refusal of the owner holds for no longer, since other entries may return tokens.
constexpr Milliseconds longestDenial { 20 };

} // namespace

bool QuotaExchange::receive(const std::string &payload, TimePoint now)
{
    const auto kind = quotaMessageKind(payload);
    if (kind == QuotaMessageKind::ask) {
        const auto question = unpack<QuotaAskMessage>(payload);
        if (question.ok()) {
            answer(*question, now);
        }
    } else if (kind == QuotaMessageKind::answer) {
        const auto reply = unpack<QuotaAnswerMessage>(payload);
        for (std::size_t i = 0; reply.ok() && i < reply->grants.size(); ++i) {
            applyGrant(*reply, reply->grants[i], now);
        }
    }
    return kind.has_value();
}

// An entry that is not in the list gets no answer: its share is not counted here.
void QuotaExchange::answer(const QuotaAskMessage &message, TimePoint now)
{
    if (!entries_.isLive(message.from) || message.from == self_) {
        return;
    }
    QuotaAnswerMessage reply;
    reply.from = self_;
    reply.number = message.number;
    for (const QuotaAsk &ask : message.asks) {
        reply.grants.push_back(grantFor(message, ask, now));
    }
    hooks_.send(message.from, pack(reply));
}

QuotaGrant QuotaExchange::grantFor(const QuotaAskMessage &message, const QuotaAsk &ask,
                                   TimePoint now)
{
    QuotaGrant grant;
    grant.organisation = ask.organisation;
    QuotaAccount *account = findAccount(ask.organisation);
    if (account == nullptr || !ownsNow(*account, now)) {
        return grant;
    }
    grant.isOwner = true;
    account->ledger->refill(entries_.shareCount(now), now);
    const QuotaReply reply
        = account->ledger->answer(message.from,
                                  { message.number, ask.wanted, ask.returned, ask.usedOfShare,
                                    Milliseconds(ask.answerAgeMs) },
                                  now);
    grant.granted = reply.granted;
    grant.retryAfterMs = static_cast<std::uint32_t>(reply.retryAfter.count());
    return grant;
}

void QuotaExchange::applyGrant(const QuotaAnswerMessage &message, const QuotaGrant &grant,
                               TimePoint now)
{
    QuotaAccount *account = findAccount(grant.organisation);
    if (account == nullptr || account->ledger || account->owner != message.from) {
        return;
    }
    const auto found = std::find_if(
        account->questions.begin(), account->questions.end(),
        [&message](const auto &question) { return question.number == message.number; });
    if (found == account->questions.end()) {
        return;
    }
    const SentQuotaQuestion question = *found;
    account->questions.erase(found);
    // After a suspension of this process, answers from before it are still in the socket's buffer.
    if (now - question.sentAt >= silenceLimit) {
        account->expired += grant.granted;
        return;
    }
    if (!grant.isOwner) {
        setUsesShare(*account, true, now);
        return;
    }
    recordContact(*account, question, now);
    applyTokens(*account, question, grant, now);
    setUsesShare(*account, false, now);
    ask(*account, now);
}

void QuotaExchange::recordContact(QuotaAccount &account, const SentQuotaQuestion &question,
                                  TimePoint now)
{
    const bool isFirst = account.answeredOwner != account.owner
        || now - account.answeredAt > QuotaShare::fillsAfter;
    account.answeredOwner = account.owner;
    account.answerTime = std::chrono::duration_cast<Milliseconds>(now - question.sentAt);
    account.answeredAt = std::max(account.answeredAt, question.sentAt);
    if (isFirst) {
        account.contactedAt = TimePoint(); // tells the owner at once that its answer has come
        needTick();
    }
}

// A late answer serves the requests that still wait, and then the next.
void QuotaExchange::applyTokens(QuotaAccount &account, const SentQuotaQuestion &question,
                                const QuotaGrant &grant, TimePoint now)
{
    const std::size_t served = std::min<std::size_t>(grant.granted, account.waiting.size());
    decideWaiting(account, account.waiting.size() - served,
                  [&](const QuotaDone &done) { decide(account, done, QuotaDecision::grant()); });
    if (grant.granted > served) {
        addUnused(account, static_cast<std::uint32_t>(grant.granted - served), now);
    }
    if (grant.granted >= question.wanted) {
        return;
    }
    const Milliseconds retryAfter(grant.retryAfterMs);
    account.deniedUntil = now + std::min(retryAfter, longestDenial);
    // Requests for which other questions are in flight wait for their answers.
    decideWaiting(account, wantedTokens(account),
                  [&](const QuotaDone &done) { refuse(account, done, retryAfter, now); });
}

} // namespace kumquat
