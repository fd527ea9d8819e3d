#include "coordination/entry/EntryQuota.h"

#include <algorithm>

namespace kumquat {

namespace {

/// For a request that got no decision in time; the next one may find the thread idle.
constexpr Milliseconds undecidedRetryAfter { 50 };
/// Before the end of a wait the exchange decides without the owner. A tick may be one interval
/// late, and the decision has to reach the worker.
constexpr Milliseconds decisionTime { 2 * QuotaExchange::tickInterval };
/// The part of a short wait that is left for that at most.
constexpr int decisionTimeDivisor = 4;

} // namespace

EntryQuota::EntryQuota(asio::io_context &loop, std::string self, QuotaHooks hooks,
                       std::uint64_t seed)
    : loop_(loop), exchange_(std::move(self), std::move(hooks), seed)
{
}

// Only the worker's thread holds the wait itself, since its timer must not outlive the worker's
// loop. The loop outlives the coordination thread: the process joins that before it destroys the
// workers.
QuotaDecision EntryQuota::admit(const Organisation &organisation, Milliseconds limit,
                                asio::io_context &workerLoop, Yield yield)
{
    if (organisation.requestsPerSecond <= 0) {
        return QuotaDecision::grant();
    }
    const TimePoint until = Clock::now() + limit;
    const TimePoint decideBy = until - std::min(decisionTime, limit / decisionTimeDivisor);
    const auto wait = std::make_shared<Wait>(workerLoop, until);
    const std::weak_ptr<Wait> weak = wait;
    const auto done = [this, weak, name = organisation.name,
                       &workerLoop](const QuotaDecision &decision) {
        asio::post(workerLoop, [this, weak, name, decision] { decide(weak, name, decision); });
    };
    asio::post(loop_, [this, name = organisation.name, decideBy, done] {
        exchange_.request(name, Clock::now(), decideBy, done);
    });
    ErrorCode ignored;
    wait->timer.async_wait(yield[ignored]);
    if (!wait->isDecided) {
        wait->isDecided = true;
        wait->decision.isUndecided = true;
        wait->decision.retryAfter = undecidedRetryAfter;
    }
    undecided_ += wait->decision.isUndecided ? 1 : 0;
    return wait->decision;
}

void EntryQuota::decide(const std::weak_ptr<Wait> &weak, const std::string &organisation,
                        const QuotaDecision &decision)
{
    const auto wait = weak.lock();
    if (wait && !wait->isDecided) {
        wait->isDecided = true;
        wait->decision = decision;
        wait->timer.cancel();
        return;
    }
    if (decision.granted) {
        giveBack(organisation);
    }
}

void EntryQuota::giveBack(const std::string &organisation)
{
    asio::post(loop_, [this, organisation] { exchange_.giveBack(organisation, Clock::now()); });
}

} // namespace kumquat
