#include "common/LatencyRecorder.h"

#include <array>

namespace kumquat {

namespace accumulators = boost::accumulators;

namespace {

const std::array<double, 3> quantiles { 0.5, 0.99, 0.999 };
/// From a fast response to a long timeout. Between 40 ms and 4 s each bound is at most about half
/// more than the one before.
const std::vector<double> bucketBoundsMs {
    1, 2, 5, 10, 20, 40, 60, 90, 130, 200, 300, 400, 500, 600, 800, 1200, 1800, 2700, 4000, 10'000
};

} // namespace

LatencyRecorder::LatencyRecorder()
    : accumulator_(accumulators::extended_p_square_probabilities = quantiles),
      histogram_(bucketBoundsMs)
{
}

void LatencyRecorder::record(Clock::duration duration)
{
    histogram_.Observe(toMilliseconds(duration));
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
