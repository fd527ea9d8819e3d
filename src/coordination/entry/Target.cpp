#include "coordination/entry/Target.h"

#include <algorithm>
#include <cmath>

namespace kumquat {

namespace {

constexpr double latencyWeight = 0.2;
constexpr double errorWeight = 0.1;
constexpr Milliseconds reportHalfLife { 20 };
constexpr Milliseconds shedMemory { 3 };
/// A target that has not answered a question is left alone for this long.
constexpr Milliseconds unresponsivePeriod { 300 };

// A lost update between two threads costs one sample of a moving average, so no retry loop.
void average(std::atomic<double> &value, double sample, double weight)
{
    const double old = value.load(std::memory_order_relaxed);
    value.store(old + weight * (sample - old), std::memory_order_relaxed);
}

} // namespace

bool TargetStats::tryAcquire(int limit)
{
    int present = inFlight_.load(std::memory_order_relaxed);
    while (present < limit) {
        if (inFlight_.compare_exchange_weak(present, present + 1, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

void TargetStats::recordResponse(Clock::duration elapsed, bool failed, TimePoint now)
{
    answers_.fetch_add(1, std::memory_order_relaxed);
    average(errorRate_, failed ? 1.0 : 0.0, errorWeight);
    store(lastSuccess_, now);
    // A target that fails fast must not look quick.
    if (failed) {
        return;
    }
    const double sample = toMilliseconds(elapsed) * 1000;
    if (latencyUs() == 0) {
        latencyUs_.store(sample, std::memory_order_relaxed);
    } else {
        average(latencyUs_, sample, latencyWeight);
    }
}

void TargetStats::recordFailure(TimePoint now)
{
    (void)now;
    average(errorRate_, 1.0, errorWeight);
}

void TargetStats::recordShed(TimePoint now)
{
    store(lastShed_, now);
    store(lastSuccess_, now);
}

bool TargetStats::shedRecently(TimePoint now) const
{
    return now - load(lastShed_) < shedMemory;
}

void TargetStats::recordReport(int inFlight, TimePoint now)
{
    const double foreign = std::max(0, inFlight - this->inFlight());
    foreignAtReport_.store(foreign, std::memory_order_relaxed);
    store(reportedAt_, now);
}

void TargetStats::recordLoad(const LoadReport &report, int ownInside, TimePoint now)
{
    recordReport(report.inFlight - ownInside, now);
    constexpr double percent = 100;
    pace_.store(report.pacePercent / percent, std::memory_order_relaxed);
    reportedInFlight_.store(report.inFlight - ownInside, std::memory_order_relaxed);
    store(heardItselfAt_, now);
    store(unresponsiveAt_, TimePoint());
}

void TargetStats::recordHearsay(const LoadReport &report, TimePoint heardAt)
{
    if (heardAt <= reportedAt()) {
        return;
    }
    constexpr double percent = 100;
    recordReport(report.inFlight, heardAt);
    pace_.store(report.pacePercent / percent, std::memory_order_relaxed);
}

bool TargetStats::isUnresponsive(TimePoint now) const
{
    return load(unresponsiveAt_) != TimePoint() && now - load(unresponsiveAt_) < unresponsivePeriod;
}

double TargetStats::foreignLoad(TimePoint now) const
{
    // The report ages: after 20 ms half of what it said is taken to be done.
    const double age = toMilliseconds(now - load(reportedAt_));
    return foreignAtReport_.load(std::memory_order_relaxed)
        * std::exp2(-age / toMilliseconds(reportHalfLife));
}

void TargetStats::resetObservations()
{
    latencyUs_.store(0);
    errorRate_.store(0);
}

// Example: 2 slots, factor 2, 6 entries -> 1 each, so that 6 requests at the most are there, of
// which 2 run. Without the share each entry alone could fill the target, and at high load most
// requests would be shed (docs/DESIGN.md, choice of target).
int targetLimit(const Target &target, double slotsFactor, std::size_t entries, TimePoint now)
{
    const double share = target.record.slots * slotsFactor / static_cast<double>(entries);
    const double full = std::max(1.0, std::ceil(share));
    const Milliseconds cold = target.stats->ramp();
    const auto age = now - target.stats->readySince();
    if (cold.count() == 0 || age >= cold) {
        return static_cast<int>(full);
    }
    const double warm = toMilliseconds(age) / toMilliseconds(cold);
    return static_cast<int>(std::max(1.0, std::floor(full * warm)));
}

bool isUsable(const Target &target, TimePoint now)
{
    return target.record.state == TargetState::ready && !target.stats->isEjected(now)
        && !target.stats->isUnreachable();
}

} // namespace kumquat
