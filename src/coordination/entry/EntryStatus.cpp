// The dump and the metrics of an entry: what operators read to see what it does.
#include "common/JsonReader.h"
#include "coordination/entry/EntryCoordinator.h"

#include <absl/strings/str_cat.h>

namespace kumquat {

namespace {

Json::Value dumpTarget(const Target &target, TimePoint now)
{
    Json::Value value;
    value["name"] = target.record.name;
    value["address"] = target.address.text();
    value["failureDomain"] = target.record.failureDomain;
    value["incarnation"] = Json::UInt64(target.record.incarnation);
    value["state"] = targetStateName(target.record.state);
    value["slots"] = target.record.slots;
    value["inFlight"] = target.stats->inFlight();
    value["foreignLoad"] = target.stats->foreignLoad(now);
    value["latencyMs"] = target.stats->latencyUs() / 1000;
    value["errorRate"] = target.stats->errorRate();
    value["ejected"] = target.stats->isEjected(now);
    value["unreachable"] = target.stats->isUnreachable();
    return value;
}

Json::Value dumpService(const ActiveService &service, TimePoint now)
{
    Json::Value value;
    value["name"] = service.configuration.name;
    value["chooser"] = service.configuration.chooser;
    value["inFlight"] = service.runtime->concurrent();
    value["waiting"] = Json::UInt64(service.runtime->waiting());
    value["targets"] = Json::Value(Json::arrayValue);
    for (const TargetPtr &target : service.targets) {
        value["targets"].append(dumpTarget(*target, now));
    }
    return value;
}

void addMetric(std::string &text, const std::string &name, const std::string &labels, double value)
{
    absl::StrAppend(&text, "kumquat_", name, labels.empty() ? "" : "{" + labels + "}", " ", value,
                    "\n");
}

void addServiceMetrics(std::string &text, const ActiveService &service)
{
    const std::string label = "service=\"" + service.configuration.name + "\"";
    const ServiceCounters &counters = service.runtime->counters;
    addMetric(text, "requests_total", label, static_cast<double>(counters.requests.load()));
    addMetric(text, "answered_total", label, static_cast<double>(counters.answered.load()));
    addMetric(text, "retries_total", label, static_cast<double>(counters.retries.load()));
    addMetric(text, "hedges_total", label, static_cast<double>(counters.hedges.load()));
    addMetric(text, "sheds_total", label, static_cast<double>(counters.sheds.load()));
    addMetric(text, "departed_total", label, static_cast<double>(counters.departed.load()));
    for (int reason = 0; reason < refusalReasonCount; ++reason) {
        const auto refused = counters.refused[static_cast<std::size_t>(reason)].load();
        if (refused > 0) {
            const char *name = refusalReasonName(static_cast<RefusalReason>(reason));
            addMetric(text, "refused_total", absl::StrCat(label, ",reason=\"", name, "\""),
                      static_cast<double>(refused));
        }
    }
    const LatencySummary latency = service.runtime->latency.summary();
    addMetric(text, "latency_ms", label + ",quantile=\"0.5\"", latency.p50Ms);
    addMetric(text, "latency_ms", label + ",quantile=\"0.99\"", latency.p99Ms);
    addMetric(text, "latency_ms", label + ",quantile=\"0.999\"", latency.p999Ms);
}

} // namespace

Json::Value EntryCoordinator::dump() const
{
    const TimePoint now = Clock::now();
    const auto routing = core_.routing.read();
    Json::Value value;
    value["name"] = settings_.name;
    value["failureDomain"] = settings_.failureDomain;
    value["ready"] = core_.ready.load();
    value["stopping"] = core_.stopping.load();
    value["controlReachable"] = controlReachable_;
    value["configuration"]["epoch"] = Json::UInt64(routing->version.epoch);
    value["configuration"]["number"] = Json::UInt64(routing->version.number);
    value["livePeers"] = Json::UInt64(gossip_->livePeers());
    value["knownTargets"] = Json::UInt64(membership_.size());
    value["suspectRequests"] = Json::UInt64(core_.quarantine.suspects());
    value["services"] = Json::Value(Json::arrayValue);
    for (const auto &service : routing->services) {
        value["services"].append(dumpService(*service, now));
    }
    return value;
}

std::string EntryCoordinator::metrics() const
{
    std::string text;
    const auto routing = core_.routing.read();
    for (const auto &service : routing->services) {
        addServiceMetrics(text, *service);
    }
    addMetric(text, "caller_connections", "", core_.connections.load());
    addMetric(text, "unrouted_total", "", static_cast<double>(core_.unrouted.load()));
    addMetric(text, "control_reachable", "", controlReachable_ ? 1 : 0);
    addMetric(text, "configuration_number", "", static_cast<double>(routing->version.number));
    addMetric(text, "configuration_fetches_total", "", static_cast<double>(fetches_));
    addMetric(text, "live_peers", "", static_cast<double>(gossip_->livePeers()));
    addMetric(text, "gossip_sent_bytes_total", "", static_cast<double>(datagrams_.sentBytes()));
    addMetric(text, "gossip_held_back_total", "", static_cast<double>(gossip_->droppedForBudget()));
    addMetric(text, "probes_total", "", static_cast<double>(probesSent_));
    addMetric(text, "probes_held_back_total", "", static_cast<double>(probesHeldBack_));
    return text;
}

} // namespace kumquat
