// The quotas of organisations as part of the coordination thread, with their dump and metrics.
#include "common/MetricsPage.h"
#include "coordination/entry/EntryCoordinator.h"
#include "kumquat/Event.h"
#include "transport/Spawn.h"

#include <algorithm>

namespace kumquat {

namespace {

/// When the last answered poll of the control group began earlier, the list of entries may be
/// outdated. A member holds a poll open for up to 0.8 s, so that without any fault the last
/// answered one began up to 1.6 s ago.
constexpr Milliseconds controlContactTime { 2'000 };
/// Organisations with series of their own in the metrics; the others share one.
constexpr std::size_t maxReported = 20;

std::uint64_t askedOf(const QuotaAccount &account)
{
    return account.counters.granted + account.counters.refused;
}

std::vector<const QuotaAccount *> largestFirst(const QuotaExchange &exchange)
{
    std::vector<const QuotaAccount *> accounts;
    for (const auto &account : exchange.accounts()) {
        accounts.push_back(&account.second);
    }
    std::stable_sort(accounts.begin(), accounts.end(), [](const auto *left, const auto *right) {
        return askedOf(*left) > askedOf(*right);
    });
    return accounts;
}

void addCounters(MetricsPage &page, const std::string &organisation, const QuotaCounters &counters)
{
    const MetricLabel label { "organisation", organisation };
    page.counter("quota_granted_total", { label }, static_cast<double>(counters.granted));
    page.counter("quota_refused_total", { label }, static_cast<double>(counters.refused));
    page.counter("quota_share_used_total", { label }, static_cast<double>(counters.grantedOfShare));
    page.counter("quota_owner_silent_total", { label }, static_cast<double>(counters.ownerSilent));
}

void logOwnerChange(const QuotaAccount &account, const std::string &ownerBefore)
{
    logEvent(Event::quotaOwnerChanged, LogLevel::info, "organisation={} owner={} before={} self={}",
             account.name, account.owner.empty() ? "none" : account.owner,
             ownerBefore.empty() ? "none" : ownerBefore, account.ledger ? "yes" : "no");
}

void logShareUse(const QuotaAccount &account, TimePoint now)
{
    logEvent(Event::quotaShareUsed, LogLevel::info, "organisation={} owner={} share={} answerMs={}",
             account.name, account.owner.empty() ? "none" : account.owner,
             account.usesShare ? "begins" : "ends",
             static_cast<int>(toMilliseconds(now - account.answeredAt)));
}

} // namespace

void EntryCoordinator::openQuota()
{
    QuotaHooks hooks;
    hooks.send = [this](const std::string &to, const std::string &payload) {
        const auto address = parseAddress(to);
        if (address.ok()) {
            datagrams_.send(*address, payload);
        }
    };
    hooks.mayOwn = [this](TimePoint now) {
        return !followsFeed() || feed_->answeredSince(now - controlContactTime);
    };
    hooks.ownerChanged = logOwnerChange;
    hooks.shareUseChanged = logShareUse;
    hooks.tickNeeded = [this] { quotaTimer_.cancel(); };
    const std::string self = followsFeed() ? settings_.reportAddress : "";
    quota_ = std::make_unique<EntryQuota>(loop_, self, std::move(hooks), randomSeed());
    core_.quota = quota_.get();
}

bool EntryCoordinator::tickQuota(Yield yield)
{
    quotaTimer_.expires_after(quota_->exchange().untilTick());
    ErrorCode ignored; // canceled by the hook `tickNeeded`
    quotaTimer_.async_wait(yield[ignored]);
    quota_->exchange().tick(Clock::now());
    return true;
}

void EntryCoordinator::receiveReport(const std::string &payload)
{
    const TimePoint now = Clock::now();
    if (!quota_->exchange().receive(payload, now)) {
        reportSharing_->receive(payload, now);
    }
}

Json::Value EntryCoordinator::dumpQuotas() const
{
    Json::Value quotas(Json::arrayValue);
    const TimePoint now = Clock::now();
    for (const QuotaAccount *account : largestFirst(quota_->exchange())) {
        if (quotas.size() == maxReported) {
            break;
        }
        Json::Value value;
        value["organisation"] = account->name;
        value["requestsPerSecond"] = account->limit.requestsPerSecond;
        value["burst"] = account->limit.burst;
        value["owner"] = account->owner;
        value["usesShare"] = account->usesShare;
        value["answerAgeMs"] = toMilliseconds(now - account->answeredAt);
        value["granted"] = Json::UInt64(account->counters.granted);
        value["refused"] = Json::UInt64(account->counters.refused);
        value["grantedOfShare"] = Json::UInt64(account->counters.grantedOfShare);
        if (account->ledger) {
            value["tokens"] = account->ledger->tokens();
            value["grantedPart"] = account->ledger->grantedPart();
        }
        quotas.append(value);
    }
    return quotas;
}

void EntryCoordinator::addQuotaMetrics(MetricsPage &page) const
{
    if (!quota_->exchange().hasQuotas()) {
        return;
    }
    const auto accounts = largestFirst(quota_->exchange());
    QuotaCounters others;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        const QuotaCounters &counters = accounts[i]->counters;
        if (i < maxReported) {
            addCounters(page, accounts[i]->name, counters);
            continue;
        }
        others.granted += counters.granted;
        others.refused += counters.refused;
        others.grantedOfShare += counters.grantedOfShare;
        others.ownerSilent += counters.ownerSilent;
    }
    if (accounts.size() > maxReported) {
        addCounters(page, "others", others);
    }
    page.counter("quota_undecided_total", {}, static_cast<double>(quota_->undecided()));
}

} // namespace kumquat
