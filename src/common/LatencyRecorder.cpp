#include "common/LatencyRecorder.h"

#include <array>

namespace kumquat {

namespace accumulators = boost::accumulators;

namespace {

const std::array<double, 3> quantiles { 0.5, 0.99, 0.999 };

} // namespace

LatencyRecorder::LatencyRecorder()
    : accumulator_(accumulators::extended_p_square_probabilities = quantiles)
{
}

void LatencyRecorder::record(Clock::duration duration)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    accumulator_(toMilliseconds(duration));
}

LatencySummary LatencyRecorder::summary() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    LatencySummary summary;
    summary.count = accumulators::count(accumulator_);
    if (summary.count == 0) {
        return summary;
    }
    const auto estimates = accumulators::extended_p_square(accumulator_);
    summary.meanMs = accumulators::mean(accumulator_);
    summary.p50Ms = estimates[0];
    summary.p99Ms = estimates[1];
    summary.p999Ms = estimates[2];
    summary.maxMs = accumulators::max(accumulator_);
    return summary;
}

} // namespace kumquat
