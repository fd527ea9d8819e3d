#include "coordination/entry/HostRouteAttempts.h"

#include "coordination/entry/HostRouteAdmission.h"
#include "transport/Spawn.h"

#include <algorithm>

namespace kumquat {

void HostRouteProgress::waitUntil(TimePoint until, Yield yield)
{
    ErrorCode ignored;
    group->signal.expires_at(until);
    group->signal.async_wait(yield[ignored]);
}

void startAttempt(HostRouteProgress &progress, const TargetPtr &target)
{
    HostRouteRequest &request = progress.request;
    progress.tried.push_back(target->record.name);
    ++progress.attemptsStarted;
    request.reachedTarget = true;
    ExchangeRequest exchange {
        request.worker,   request.dialect,         target, request.request, request.requestId,
        request.deadline, progress.isIdempotent(), {}
    };
    const auto attempt = std::make_shared<TrackedAttempt>(TrackedAttempt {
        std::move(exchange), Clock::now(), progress.expectedSlowdown, false, false, {} });
    progress.group->attempts.push_back(attempt);
    spawnOn(
        request.worker.loop,
        [attempt](Yield yield) { attempt->result = runExchange(attempt->request, yield); },
        [attempt, group = progress.group, service = request.service.version()] {
            attempt->ended = true;
            releaseTarget(*service, *attempt->request.target);
            reportTargetReleased(attempt->request.worker, *service);
            group->signal.cancel();
        });
}

int runningAttempts(const HostRouteProgress &progress)
{
    const auto &attempts = progress.group->attempts;
    return static_cast<int>(std::count_if(attempts.begin(), attempts.end(),
                                          [](const auto &attempt) { return !attempt->ended; }));
}

bool awaitsResult(const HostRouteProgress &progress)
{
    const auto &attempts = progress.group->attempts;
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const auto &attempt) { return !attempt->handled; });
}

std::shared_ptr<TrackedAttempt> takeEndedAttempt(HostRouteProgress &progress)
{
    for (const auto &attempt : progress.group->attempts) {
        if (attempt->ended && !attempt->handled) {
            attempt->handled = true;
            return attempt;
        }
    }
    return nullptr;
}

void cancelAttempts(HostRouteProgress &progress)
{
    for (const auto &attempt : progress.group->attempts) {
        if (!attempt->ended) {
            attempt->request.handle.cancel();
        }
    }
}

} // namespace kumquat
