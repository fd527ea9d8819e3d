#include "common/MetricsPage.h"

#include <algorithm>
#include <prometheus/text_serializer.h>

namespace kumquat {

void MetricsPage::counter(const std::string &name, std::vector<MetricLabel> labels, double value)
{
    prometheus::ClientMetric metric;
    metric.counter.value = value;
    add(name, prometheus::MetricType::Counter, std::move(labels), std::move(metric));
}

void MetricsPage::gauge(const std::string &name, std::vector<MetricLabel> labels, double value)
{
    prometheus::ClientMetric metric;
    metric.gauge.value = value;
    add(name, prometheus::MetricType::Gauge, std::move(labels), std::move(metric));
}

void MetricsPage::histogram(const std::string &name, std::vector<MetricLabel> labels,
                            prometheus::ClientMetric values)
{
    add(name, prometheus::MetricType::Histogram, std::move(labels), std::move(values));
}

void MetricsPage::add(const std::string &name, prometheus::MetricType type,
                      std::vector<MetricLabel> labels, prometheus::ClientMetric metric)
{
    for (MetricLabel &label : labels) {
        metric.label.push_back({ std::move(label.name), std::move(label.value) });
    }
    const std::string fullName = "kumquat_" + name;
    const auto present
        = std::find_if(families_.begin(), families_.end(),
                       [&fullName](const auto &family) { return family.name == fullName; });
    if (present != families_.end()) {
        present->metric.push_back(std::move(metric));
        return;
    }
    families_.push_back({ fullName, "", type, { std::move(metric) } });
}

std::string MetricsPage::text() const
{
    return prometheus::TextSerializer().Serialize(families_);
}

} // namespace kumquat
