#pragma once
/// \file
/// Collects the metrics of a process and writes them in the Prometheus text format.
/// Names get the prefix `kumquat_`; metrics with the same name form one family.

#include <prometheus/metric_family.h>
#include <string>
#include <vector>

namespace kumquat {

struct MetricLabel
{
    std::string name;
    std::string value;
};

class MetricsPage
{
public:
    /// A count that never decreases while the process runs.
    void counter(const std::string &name, std::vector<MetricLabel> labels, double value);

    /// A current value, which may rise and fall.
    void gauge(const std::string &name, std::vector<MetricLabel> labels, double value);

    /// Durations counted in buckets; bounds and sum are in milliseconds.
    void histogram(const std::string &name, std::vector<MetricLabel> labels,
                   prometheus::ClientMetric values);

    std::string text() const;

private:
    void add(const std::string &name, prometheus::MetricType type, std::vector<MetricLabel> labels,
             prometheus::ClientMetric metric);

    std::vector<prometheus::MetricFamily> families_;
};

/// The HTTP content type of MetricsPage::text().
constexpr char metricsContentType[] = "text/plain; version=0.0.4";

} // namespace kumquat
