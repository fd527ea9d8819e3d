// The state dump and the metrics of an entry, for operators.
#include "common/Containment.h"
#include "common/JsonReader.h"
#include "common/MetricsPage.h"
#include "coordination/entry/ColdTargets.h"
#include "coordination/entry/EntryCoordinator.h"

namespace kumquat {

namespace {

Json::Value dumpCold(const ActiveService &service, const Target &target, TimePoint now)
{
    const ColdTargetLimit &limit = target.stats->coldLimit();
    const auto left = limit.coldUntil(service.configuration.warmup) - now;
    Json::Value value;
    value["leftMs"] = std::max(0.0, toMilliseconds(left));
    value["assumed"] = limit.isAssumedCold(service.configuration.warmup, now);
    value["unconfirmed"] = limit.isUnconfirmed();
    value["untilSendMs"] = Json::Int64(timeUntilSend(service, target, now).count());
    if (target.entryRank) {
        value["entryRank"] = Json::UInt64(*target.entryRank);
    }
    return value;
}

Json::Value dumpTarget(const ActiveService &service, const Target &target, TimePoint now)
{
    Json::Value value;
    value["name"] = target.record.name;
    value["address"] = target.address.text();
    value["failureDomain"] = target.record.failureDomain;
    value["incarnation"] = Json::UInt64(target.record.incarnation);
    value["state"] = targetStateName(target.record.state);
    value["slots"] = target.record.slots;
    value["inFlight"] = target.stats->inFlight();
    value["foreignLoad"] = target.stats->externalLoad(now);
    value["latencyMs"] = target.stats->latencyUs() / 1000;
    value["errorRate"] = target.stats->errorRate();
    value["ejected"] = target.stats->isEjected(now);
    value["unreachable"] = target.stats->isUnreachable();
    value["evacuated"] = target.stats->isEvacuated();
    value["saidLeaving"] = target.stats->isLeaving();
    const auto restLeft = target.stats->rest().until() - now;
    value["restMs"] = std::max(0.0, toMilliseconds(restLeft));
    if (limitsColdTargets(service.configuration)) {
        value["cold"] = dumpCold(service, target, now);
    }
    return value;
}

Json::Value dumpService(const ActiveService &service, TimePoint now)
{
    Json::Value value;
    value["name"] = service.configuration.name;
    value["chooser"] = service.configuration.loadBalancingPolicy;
    value["inFlight"] = service.runtime->concurrent();
    value["waiting"] = Json::UInt64(service.runtime->waitingCount());
    value["targets"] = Json::Value(Json::arrayValue);
    for (const TargetPtr &target : service.targets) {
        value["targets"].append(dumpTarget(service, *target, now));
    }
    return value;
}

void addTargetMetrics(MetricsPage &page, const MetricLabel &label, const ActiveService &service)
{
    const TimePoint now = Clock::now();
    int leaving = 0;
    int resting = 0;
    int evacuated = 0;
    for (const TargetPtr &target : service.targets) {
        leaving += target->stats->isLeaving() ? 1 : 0;
        resting += target->stats->rest().isResting(now) ? 1 : 0;
        evacuated += target->stats->isEvacuated() ? 1 : 0;
    }
    page.gauge("targets_evacuated", { label }, evacuated);
    page.gauge("targets_leaving", { label }, leaving);
    page.gauge("targets_resting", { label }, resting);
    if (limitsColdTargets(service.configuration)) {
        page.gauge("targets_cold", { label }, static_cast<double>(coldTargetCount(service, now)));
        page.counter("cold_held_back_total", { label },
                     static_cast<double>(service.runtime->counters.coldHeldBack.load()));
    }
}

void addServiceMetrics(MetricsPage &page, const ActiveService &service)
{
    const MetricLabel label { "service", service.configuration.name };
    const ServiceRuntime &runtime = *service.runtime;
    const ServiceCounters &counters = runtime.counters;
    const auto count = [&page, &label](const char *name, const std::atomic<std::uint64_t> &value) {
        page.counter(name, { label }, static_cast<double>(value.load()));
    };
    count("requests_total", counters.requests);
    count("answered_total", counters.answered);
    count("retries_total", counters.retries);
    count("hedges_total", counters.hedges);
    count("sheds_total", counters.sheds);
    count("departed_total", counters.callerDisconnects);
    count("questions_total", counters.loadProbes);
    for (int reason = 0; reason < refusalReasonCount; ++reason) {
        const auto refused = counters.refused[static_cast<std::size_t>(reason)].load();
        if (refused > 0) {
            const char *name = refusalReasonName(static_cast<RefusalReason>(reason));
            page.counter("refused_total", { label, { "reason", name } },
                         static_cast<double>(refused));
        }
    }
    addTargetMetrics(page, label, service);
    count("refused_early_total", counters.refusedEarly);
    page.gauge("waiting", { label },
               static_cast<double>(runtime.waitingCount() + counters.queued.load()));
    page.gauge("longest_wait_ms", { label }, static_cast<double>(counters.longestWaitMs.load()));
    const LatencySummary latency = runtime.latency.summary();
    page.gauge("latency_ms", { label, { "quantile", "0.5" } }, latency.p50Ms);
    page.gauge("latency_ms", { label, { "quantile", "0.99" } }, latency.p99Ms);
    page.gauge("latency_ms", { label, { "quantile", "0.999" } }, latency.p999Ms);
    page.histogram("request_duration_ms", { label }, runtime.latency.histogram());
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
    value["stopping"] = core_.stop.hasBegun();
    value["controlReachable"] = controlReachable_;
    value["settingsRejected"] = settingsRejected_;
    value["configuration"]["epoch"] = Json::UInt64(routing->version.epoch);
    value["configuration"]["number"] = Json::UInt64(routing->version.number);
    value["evacuations"]["epoch"] = Json::UInt64(evacuationsVersion_.epoch);
    value["evacuations"]["number"] = Json::UInt64(evacuationsVersion_.number);
    value["evacuations"]["failureDomains"] = Json::Value(Json::arrayValue);
    for (const std::string &failureDomain : evacuatedDomains_) {
        value["evacuations"]["failureDomains"].append(failureDomain);
    }
    value["livePeers"] = Json::UInt64(gossip_->livePeers());
    value["knownTargets"] = Json::UInt64(targets_.size());
    value["suspectRequests"] = Json::UInt64(core_.quarantine.suspectCount());
    value["services"] = Json::Value(Json::arrayValue);
    for (const auto &service : routing->services) {
        value["services"].append(dumpService(*service, now));
    }
    value["quotas"] = dumpQuotas();
    return value;
}

std::string EntryCoordinator::metrics() const
{
    MetricsPage page;
    const auto routing = core_.routing.read();
    for (const auto &service : routing->services) {
        addServiceMetrics(page, *service);
    }
    page.gauge("caller_connections", {}, core_.connections.load());
    page.counter("unrouted_total", {}, static_cast<double>(core_.unrouted.load()));
    page.counter("unidentified_total", {}, static_cast<double>(core_.unidentified.load()));
    page.counter("handler_failures_total", {}, static_cast<double>(core_.handlerFailures.load()));
    page.counter("exceptions_contained_total", {}, static_cast<double>(reportedExceptions()));
    for (int cause = 0; cause < dropCauseCount; ++cause) {
        const auto dropped = core_.droppedResponses[static_cast<std::size_t>(cause)].load();
        page.counter("responses_dropped_total",
                     { { "cause", dropCauseName(static_cast<DropCause>(cause)) } },
                     static_cast<double>(dropped));
    }
    page.gauge("control_reachable", {}, controlReachable_ ? 1 : 0);
    page.gauge("settings_rejected", {}, settingsRejected_ ? 1 : 0);
    page.gauge("configuration_number", {}, static_cast<double>(routing->version.number));
    page.gauge("evacuations_number", {}, static_cast<double>(evacuationsVersion_.number));
    page.gauge("evacuated_domains", {}, static_cast<double>(evacuatedDomains_.size()));
    page.counter("configuration_fetches_total", {}, static_cast<double>(fetchCount_));
    page.gauge("live_peers", {}, static_cast<double>(gossip_->livePeers()));
    page.gauge("live_entries", {}, static_cast<double>(liveEntries()));
    page.counter("gossip_sent_bytes_total", {}, static_cast<double>(datagrams_.sentBytes()));
    page.counter("gossip_held_back_total", {}, static_cast<double>(gossip_->droppedOverBudget()));
    page.counter("probes_total", {}, static_cast<double>(healthProbesSent_));
    page.counter("probes_held_back_total", {}, static_cast<double>(healthProbesThrottled_));
    addQuotaMetrics(page);
    return page.text();
}

absl::Status EntryCoordinator::openMetrics()
{
    if (settings_.metricsAddress.empty()) {
        return absl::OkStatus();
    }
    metricsServer_ = std::make_shared<HttpServer>(loop_, [this](const HttpRequest &, Yield) {
        return textResponse(http::status::ok, metrics(), metricsContentType);
    });
    return metricsServer_->listen(*parseAddress(settings_.metricsAddress));
}

} // namespace kumquat
