#include "coordination/entry/ServiceRuntime.h"

#include "coordination/entry/ColdTargets.h"

#include <algorithm>

namespace kumquat {

namespace {

constexpr double serviceTimeWeight = 0.05;
/// Weights of load probes that took less, or more, than the typical time.
constexpr double fasterProbeWeight = 0.2;
constexpr double slowerProbeWeight = 0.01;

/// In larger services only this many targets are considered, to bound the cost of a choice.
constexpr std::size_t maxCandidates = 48;

// A lost update between two threads costs one sample, so no retry loop.
void updateAverage(std::atomic<double> &valueUs, Clock::duration elapsed,
                   double weight = serviceTimeWeight)
{
    constexpr double microsecondsPerMillisecond = 1'000;
    const double sample = toMilliseconds(elapsed) * microsecondsPerMillisecond;
    const double old = valueUs.load(std::memory_order_relaxed);
    const double next = old == 0 ? sample : old + weight * (sample - old);
    valueUs.store(next, std::memory_order_relaxed);
}

Microseconds asMicroseconds(const std::atomic<double> &valueUs)
{
    return Microseconds(static_cast<std::int64_t>(valueUs.load(std::memory_order_relaxed)));
}

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

double relativeLatency(const Target &target, double meanLatencyUs)
{
    const double own = target.stats->latencyUs();
    return own > 0 && meanLatencyUs > 0 ? own / meanLatencyUs : 1;
}

std::vector<Candidate> candidates(const ActiveService &service,
                                  const std::vector<std::string> &tried, TimePoint now,
                                  Random &random)
{
    const std::size_t count = service.targets.size();
    const std::size_t scanned = std::min(count, maxCandidates);
    const std::size_t start = count > maxCandidates ? randomBelow(random, count) : 0;
    const double meanLatencyUs = static_cast<double>(service.runtime->meanServiceTime().count());
    std::vector<Candidate> result;
    result.reserve(scanned);
    for (std::size_t step = 0; step < scanned; ++step) {
        const std::size_t index = (start + step) % count;
        const Target &target = *service.targets[index];
        const int limit = service.inFlightLimitOf(target, now);
        const int inFlight = target.stats->inFlight();
        if (!isUsable(target, now) || inFlight >= limit || contains(tried, target.record.name)
            || !maySend(service, target, now)) {
            continue;
        }
        result.push_back({ index, inFlight, target.record.slots, target.stats->externalLoad(now),
                           relativeLatency(target, meanLatencyUs), target.stats->errorRate(),
                           target.stats->shedRecently(now) });
    }
    return result;
}

bool isAllowed(const ActiveService &service, const Target &target, CandidateUse use, TimePoint now)
{
    if (needsProbe(service, target)) {
        return use == CandidateUse::probe;
    }
    return use == CandidateUse::probe ? mayProbe(service, target, now)
                                      : maySend(service, target, now);
}

std::optional<Milliseconds> timeUntilReturn(const ActiveService &service, const Target &target,
                                            TimePoint now)
{
    const TargetStats &stats = *target.stats;
    if (!stats.isLeaving() && !stats.isEvacuated() && stats.rest().isResting(now)) {
        return std::chrono::ceil<Milliseconds>(stats.rest().until() - now);
    }
    if (isUsable(target, now) && !maySend(service, target, now)) {
        return timeUntilSend(service, target, now);
    }
    return std::nullopt;
}

} // namespace

bool ServiceRuntime::tryEnter(int concurrency)
{
    if (concurrent_.fetch_add(1, std::memory_order_relaxed) < concurrency) {
        return true;
    }
    leave();
    return false;
}

bool ServiceRuntime::tryEnqueue(const std::shared_ptr<Waiter> &waiter, std::size_t limit)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (waiters_.size() >= limit) {
        return false;
    }
    waiters_.push_back(waiter);
    waitingCount_.store(waiters_.size(), std::memory_order_relaxed);
    return true;
}

void ServiceRuntime::dequeue(const std::shared_ptr<Waiter> &waiter)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    waiters_.erase(std::remove(waiters_.begin(), waiters_.end(), waiter), waiters_.end());
    waitingCount_.store(waiters_.size(), std::memory_order_relaxed);
}

void ServiceRuntime::wakeOne()
{
    if (waitingCount() == 0) {
        return;
    }
    std::shared_ptr<Waiter> waiter;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (waiters_.empty()) {
            return;
        }
        waiter = waiters_.front();
        waiters_.pop_front();
        waitingCount_.store(waiters_.size(), std::memory_order_relaxed);
    }
    asio::post(waiter->loop, [waiter] {
        waiter->woken = true;
        waiter->timer.cancel();
    });
}

void ServiceRuntime::recordServiceTime(Clock::duration elapsed)
{
    updateAverage(serviceTimeUs_, elapsed);
}

Microseconds ServiceRuntime::meanServiceTime() const
{
    return asMicroseconds(serviceTimeUs_);
}

// Delays within this entry lengthen some samples and say nothing about the target, so short
// samples weigh more.
void ServiceRuntime::recordLoadProbeTime(Clock::duration elapsed)
{
    const bool faster = elapsed < typicalLoadProbeTime();
    updateAverage(loadProbeTimeUs_, elapsed, faster ? fasterProbeWeight : slowerProbeWeight);
}

Microseconds ServiceRuntime::typicalLoadProbeTime() const
{
    return asMicroseconds(loadProbeTimeUs_);
}

std::vector<PlacementCandidate> placementCandidates(const ActiveService &service,
                                                    PlacementScope scope,
                                                    const std::vector<std::string> &tried,
                                                    TimePoint now, CandidateUse use)
{
    std::vector<PlacementCandidate> candidates;
    for (std::size_t index = 0; index < service.targets.size(); ++index) {
        const Target &target = *service.targets[index];
        const TargetStats &stats = *target.stats;
        if (target.inSubset != (scope == PlacementScope::subset)) {
            continue;
        }
        if (!isUsable(target, now) || stats.isUnresponsive(now)
            || contains(tried, target.record.name) || !isAllowed(service, target, use, now)) {
            continue;
        }
        PlacementCandidate candidate;
        candidate.index = index;
        candidate.slots = stats.rest().concurrencyLimit(target.record.slots, now);
        candidate.inFlight = stats.inFlight();
        candidate.externalLoad = stats.reportedExternalLoad();
        candidate.slowdown = stats.reportedSlowdown();
        candidate.hasReport = stats.reportedAt() != TimePoint();
        candidate.reportAge = std::chrono::duration_cast<Microseconds>(now - stats.reportedAt());
        candidate.isInSlowStart = now - stats.readySince() < stats.slowStartTime()
            || stats.rest().isReturning(now) || isLimited(service, target, now);
        candidate.errorRate = stats.errorRate();
        candidate.sameFailureDomain = target.record.failureDomain == service.failureDomain;
        candidates.push_back(candidate);
    }
    setTypicalLoad(candidates);
    return candidates;
}

TargetPtr acquireTarget(const ActiveService &service, const std::vector<std::string> &tried,
                        TimePoint now, Random &random)
{
    std::vector<Candidate> list = candidates(service, tried, now, random);
    while (!list.empty()) {
        const std::size_t position = service.policy(list, random());
        const TargetPtr &target = service.targets[list[position].index];
        const int limit = service.inFlightLimitOf(*target, now);
        if (target->stats->tryAcquire(limit)) {
            if (trySend(service, *target, now)) {
                return target;
            }
            target->stats->release();
        }
        list.erase(list.begin() + static_cast<std::ptrdiff_t>(position));
    }
    countIfHeldBack(service, tried, now);
    return nullptr;
}

void releaseTarget(const ActiveService &service, const Target &target)
{
    target.stats->release();
    service.runtime->wakeOne();
}

std::size_t usableTargetCount(const ActiveService &service, TimePoint now,
                              const std::vector<std::string> &tried)
{
    return static_cast<std::size_t>(
        std::count_if(service.targets.begin(), service.targets.end(), [&](const TargetPtr &target) {
            return isUsable(*target, now) && maySend(service, *target, now)
                && !contains(tried, target->record.name);
        }));
}

bool hasUsable(const ActiveService &service, const Target &target, TimePoint now)
{
    return std::any_of(service.targets.begin(), service.targets.end(),
                       [&target, now](const TargetPtr &present) {
                           return present->stats == target.stats && isUsable(*present, now);
                       });
}

bool hasUntriedTarget(const ActiveService &service, const std::vector<std::string> &tried,
                      TimePoint now)
{
    return std::any_of(service.targets.begin(), service.targets.end(),
                       [&service, &tried, now](const TargetPtr &target) {
                           return isUsable(*target, now) && !contains(tried, target->record.name)
                               && (needsProbe(service, *target) || maySend(service, *target, now));
                       });
}

std::optional<Milliseconds> timeUntilReturn(const ActiveService &service, TimePoint now)
{
    std::optional<Milliseconds> earliest;
    for (const TargetPtr &target : service.targets) {
        const auto left = timeUntilReturn(service, *target, now);
        if (left) {
            earliest = std::min(*left, earliest.value_or(*left));
        }
    }
    return earliest;
}

Microseconds expectedWait(const ActiveService &service, TimePoint now)
{
    std::int64_t capacity = 0;
    for (const TargetPtr &target : service.targets) {
        if (isUsable(*target, now)) {
            capacity += service.inFlightLimitOf(*target, now);
        }
    }
    const auto requests = static_cast<std::int64_t>(service.runtime->waitingCount()) + 1;
    const auto totalServiceTime = service.runtime->meanServiceTime() * requests;
    return capacity == 0 ? Microseconds(0) : totalServiceTime / capacity;
}

} // namespace kumquat
