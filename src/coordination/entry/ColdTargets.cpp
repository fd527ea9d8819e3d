#include "coordination/entry/ColdTargets.h"

#include <algorithm>

namespace kumquat {

namespace {

std::optional<Clock::duration> sendInterval(const ActiveService &service, const Target &target)
{
    return coldSendInterval(service.configuration.warmupRequestsPerSecond, service.entries,
                            target.entryRank);
}

bool isWithheld(const ActiveService &service, const Target &target,
                const std::vector<std::string> &tried, TimePoint now)
{
    const bool wasTried = std::find(tried.begin(), tried.end(), target.record.name) != tried.end();
    return !wasTried && isUsable(target, now) && !maySend(service, target, now);
}

} // namespace

bool isLimited(const ActiveService &service, const Target &target, TimePoint now)
{
    return limitsColdTargets(service.configuration)
        && target.stats->coldLimit().isCold(service.configuration.warmup, now);
}

bool maySend(const ActiveService &service, const Target &target, TimePoint now)
{
    if (!isLimited(service, target, now)) {
        return true;
    }
    const auto interval = sendInterval(service, target);
    return interval && now >= target.stats->coldLimit().nextSendAt(*interval);
}

bool trySend(const ActiveService &service, const Target &target, TimePoint now)
{
    if (!isLimited(service, target, now)) {
        return true;
    }
    const auto interval = sendInterval(service, target);
    return interval && target.stats->coldLimit().trySend(*interval, now);
}

// A response can show that a target is warm that was only assumed to be cold.
bool mayProbe(const ActiveService &service, const Target &target, TimePoint now)
{
    return maySend(service, target, now)
        || target.stats->coldLimit().isAssumedCold(service.configuration.warmup, now);
}

bool needsProbe(const ActiveService &service, const Target &target)
{
    return limitsColdTargets(service.configuration) && target.stats->coldLimit().isUnconfirmed();
}

Milliseconds timeUntilSend(const ActiveService &service, const Target &target, TimePoint now)
{
    if (!isLimited(service, target, now)) {
        return Milliseconds(0);
    }
    const ColdTargetLimit &limit = target.stats->coldLimit();
    const auto interval = sendInterval(service, target);
    const TimePoint warmAt = limit.coldUntil(service.configuration.warmup);
    const TimePoint sendAt = interval ? std::min(warmAt, limit.nextSendAt(*interval)) : warmAt;
    return std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(sendAt - now));
}

std::size_t coldTargetCount(const ActiveService &service, TimePoint now)
{
    return static_cast<std::size_t>(std::count_if(
        service.targets.begin(), service.targets.end(),
        [&service, now](const TargetPtr &target) { return isLimited(service, *target, now); }));
}

void countIfHeldBack(const ActiveService &service, const std::vector<std::string> &tried,
                     TimePoint now)
{
    if (!limitsColdTargets(service.configuration)) {
        return;
    }
    const bool heldBack = std::any_of(service.targets.begin(), service.targets.end(),
                                      [&service, &tried, now](const TargetPtr &target) {
                                          return isWithheld(service, *target, tried, now);
                                      });
    if (heldBack) {
        ++service.runtime->counters.coldHeldBack;
    }
}

} // namespace kumquat
