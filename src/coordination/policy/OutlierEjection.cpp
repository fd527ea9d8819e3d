#include "coordination/policy/OutlierEjection.h"

#include <algorithm>

namespace kumquat {

namespace {

constexpr double maxErrorRate = 0.4;
/// A target is too slow when its latency exceeds the median of the service both by this factor and
/// by this difference.
constexpr double maxSlowdown = 5;
constexpr double minExcessLatencyUs = 20'000;
constexpr Milliseconds baseEjectionTime { 1'000 };
constexpr Milliseconds maxEjectionTime { 30'000 };
/// An ejection this long after the previous one counts as the first.
constexpr Milliseconds historyResetTime { 120'000 };
/// The load of a target that returns is ramped up over this time.
constexpr Milliseconds slowStartTime { 1'000 };

double medianLatencyUs(const ActiveService &service)
{
    std::vector<double> latencies;
    for (const TargetPtr &target : service.targets) {
        if (target->stats->latencyUs() > 0 && !target->stats->isEvacuated()) {
            latencies.push_back(target->stats->latencyUs());
        }
    }
    if (latencies.empty()) {
        return 0;
    }
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

const char *ejectionReason(const TargetStats &stats, double medianUs)
{
    if (stats.errorRate() > maxErrorRate) {
        return "its error rate is too high";
    }
    const double latency = stats.latencyUs();
    const bool slow = latency > medianUs * maxSlowdown && latency > medianUs + minExcessLatencyUs;
    return medianUs > 0 && slow ? "its latency is far above the median" : nullptr;
}

Milliseconds ejectionTime(int ejections)
{
    const Milliseconds time = baseEjectionTime * (1 << std::min(ejections, 5));
    return std::min(time, maxEjectionTime);
}

} // namespace

std::vector<EjectionEvent> OutlierEjection::evaluate(const ActiveService &service,
                                                     double maxEjectedShare, TimePoint now)
{
    std::vector<EjectionEvent> events;
    const double median = medianLatencyUs(service);
    std::size_t ejected = 0;
    std::size_t total = 0; // without evacuated targets, which get no requests in any case
    for (const TargetPtr &target : service.targets) {
        const bool isEvacuated = target->stats->isEvacuated();
        total += isEvacuated ? 0 : 1;
        ejected += !isEvacuated && target->stats->isEjected(now) ? 1 : 0;
    }
    const double maxEjected = maxEjectedShare * static_cast<double>(total);
    for (const TargetPtr &target : service.targets) {
        History &history = histories_[target->record.name];
        TargetStats &stats = *target->stats;
        if (history.ejected && !stats.isEjected(now)) {
            history.ejected = false;
            stats.resetObservations();
            stats.markReady(now, slowStartTime);
            events.push_back({ target->record.name, false, "its ejection time is over" });
        }
        const bool isExempt = history.ejected || stats.isEvacuated();
        const char *reason = isExempt ? nullptr : ejectionReason(stats, median);
        if (reason == nullptr || static_cast<double>(ejected + 1) > maxEjected) {
            continue;
        }
        if (now - history.lastEjection > historyResetTime) {
            history.ejections = 0;
        }
        stats.eject(now + ejectionTime(history.ejections));
        ++history.ejections;
        ++ejected;
        history.ejected = true;
        history.lastEjection = now;
        events.push_back({ target->record.name, true, reason });
    }
    return events;
}

} // namespace kumquat
