#pragma once
/// \file
/// Summarises durations with Boost.Accumulators: count, mean, maximum and three quantiles.
/// The quantiles are P-square estimates over the recorder's lifetime; the histogram beside them can
/// be aggregated over entries and time ranges. The load tool keeps exact samples instead.

#include "common/Time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <mutex>
#include <prometheus/histogram.h>

namespace kumquat {

struct LatencySummary
{
    std::uint64_t count = 0;
    double meanMs = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double maxMs = 0;
};

class LatencyRecorder
{
public:
    LatencyRecorder();

    void record(Clock::duration duration);
    LatencySummary summary() const;
    prometheus::ClientMetric histogram() const { return histogram_.Collect(); }

private:
    using Accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
                                   boost::accumulators::tag::max,
                                   boost::accumulators::tag::extended_p_square>>;

    mutable std::mutex mutex_;
    Accumulator accumulator_;
    prometheus::Histogram histogram_;
};

} // namespace kumquat
