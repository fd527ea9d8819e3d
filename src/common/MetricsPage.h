#pragma once
/// \file
/// Gathers the metrics of a process and writes them as text, with prometheus-cpp's core.
/// Names get the prefix `kumquat_`; metrics of one name form one family.

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
    /// A count that only grows while the process runs.
    void counter(const std::string &name, std::vector<MetricLabel> labels, double value);

    /// A value of this moment.
    void gauge(const std::string &name, std::vector<MetricLabel> labels, double value);

    /// Durations in buckets, in milliseconds.
    void histogram(const std::string &name, std::vector<MetricLabel> labels,
                   prometheus::ClientMetric values);

    std::string text() const;

private:
    void add(const std::string &name, prometheus::MetricType type, std::vector<MetricLabel> labels,
             prometheus::ClientMetric metric);

    std::vector<prometheus::MetricFamily> families_;
};

/// What the text is sent as.
constexpr char metricsContentType[] = "text/plain; version=0.0.4";

} // namespace kumquat
