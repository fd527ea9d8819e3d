#include "coordination/entry/HostRouteAdmission.h"

#include <algorithm>
#include <map>
#include <spdlog/fmt/fmt.h>

namespace kumquat {

namespace {

// A caller without an organisation ranks as an organisation of its route's priority.
AdmissionRequest admissionRequest(const HostRouteRequest &request, TimePoint waitEnd)
{
    const HostRoute &route = request.route->configuration;
    AdmissionRequest result;
    result.organisation = request.organisation ? request.organisation->name : "";
    result.organisationPriority
        = request.organisation ? request.organisation->priority : route.priority;
    result.routePriority = route.priority;
    result.isBulk = route.isBulk;
    result.arrival = Clock::now();
    result.objectiveEnd = request.arrival + route.latencyObjective;
    result.waitEnd = waitEnd;
    return result;
}

/// With less time than this before the end of a planned stop, a bulk response is written whole: its
/// next part could wait for so long.
constexpr Milliseconds maxPartWait { 2'000 };

Milliseconds newestReportAge(const ActiveService &service, TimePoint now)
{
    TimePoint newest;
    for (const TargetPtr &target : service.targets) {
        newest = std::max(newest, target->stats->reportedAt());
    }
    return std::chrono::duration_cast<Milliseconds>(now - newest);
}

std::string describeTargets(const ActiveService &service, TimePoint now)
{
    std::map<std::string, int> unavailable; // by the rule that takes them out of the choice
    for (const TargetPtr &target : service.targets) {
        const TargetStats &stats = *target->stats;
        unavailable["notReady"] += target->record.state != TargetState::ready ? 1 : 0;
        unavailable["ejected"] += stats.isEjected(now) ? 1 : 0;
        unavailable["evacuated"] += stats.isEvacuated() ? 1 : 0;
        unavailable["unreachable"] += stats.isUnreachable() ? 1 : 0;
        unavailable["leaving"] += stats.isLeaving() ? 1 : 0;
        unavailable["resting"] += stats.rest().isResting(now) ? 1 : 0;
        unavailable["unresponsive"] += stats.isUnresponsive(now) ? 1 : 0;
    }
    std::string text = fmt::format(" targets={}", service.targets.size());
    for (const auto &[rule, count] : unavailable) {
        text += count > 0 ? fmt::format(" {}={}", rule, count) : "";
    }
    return text;
}

void recordWait(ServiceRuntime &runtime, Clock::duration waited)
{
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(waited).count();
    auto &longest = runtime.counters.longestWaitMs;
    std::int64_t before = longest;
    while (before < elapsed && !longest.compare_exchange_weak(before, elapsed)) { }
}

} // namespace

void ServiceQueue::report()
{
    const std::size_t waiting = queue.waitingCount();
    runtime->counters.queued += waiting - reported;
    reported = waiting;
}

std::shared_ptr<ServiceQueue> HostRouteAdmissions::queueOf(const ActiveService &service)
{
    auto &queue = queues[service.configuration.name];
    if (!queue) {
        queue = std::make_shared<ServiceQueue>(service.runtime);
    }
    return queue;
}

// Requests that still wait for a target of such a service keep their queue until they have left.
void HostRouteAdmissions::removeUnused(const RoutingTable &routing)
{
    if (routing.version == version) {
        return;
    }
    version = routing.version;
    for (auto queue = queues.begin(); queue != queues.end();) {
        queue = routing.findService(queue->first) ? std::next(queue) : queues.erase(queue);
    }
}

AdmissionPlace::AdmissionPlace(HostRouteRequest &request, TimePoint waitEnd,
                               std::function<void()> wake)
    : request_(request), runtime_(request.service->runtime), enteredAt_(Clock::now())
{
    const bool isQueued = request.worker.admissions && request.route->queuesRequests;
    if (!isQueued || !request.service.isConfigured()) {
        return;
    }
    HostRouteAdmissions &admissions = *request.worker.admissions;
    const HostRoute &route = request.route->configuration;
    if (!route.isBulk) {
        admissions.pacing.recordShortObjective(route.latencyObjective, enteredAt_);
    }
    queue_ = admissions.queueOf(*request.service);
    AdmissionRequest entering = admissionRequest(request, waitEnd);
    entering.wake = std::move(wake);
    id_ = queue_->queue.enter(std::move(entering), enteredAt_);
    queue_->report();
}

AdmissionPlace::~AdmissionPlace()
{
    if (queue_) {
        queue_->queue.leave(id_, Clock::now());
        queue_->report();
        recordWait(*runtime_, Clock::now() - enteredAt_);
    }
}

AdmissionDecision AdmissionPlace::decide(TimePoint now)
{
    if (!queue_) {
        return AdmissionDecision::search;
    }
    request_.leavesLastSlots = queue_->queue.leavesLastSlots(id_, now);
    const AdmissionDecision decision = queue_->queue.decide(id_, now);
    if (decision == AdmissionDecision::refuse) {
        ++runtime_->counters.refusedEarly;
    }
    return decision;
}

TimePoint AdmissionPlace::nextDecision(TimePoint now) const
{
    return queue_ ? queue_->queue.nextDecision(id_, now) : now + placementRetryInterval;
}

void AdmissionPlace::searchFailed(bool allFull, bool anyTarget, TimePoint now)
{
    if (queue_) {
        queue_->queue.searchFailed(id_, allFull, anyTarget, now);
        queue_->report();
    }
}

void AdmissionPlace::started(TimePoint now)
{
    if (queue_) {
        queue_->queue.started(id_, now);
        queue_->report();
        recordWait(*runtime_, now - enteredAt_);
        queue_ = nullptr;
    }
}

std::string AdmissionPlace::describe(TimePoint now) const
{
    const std::string targets = describeTargets(*request_.service, now);
    if (!queue_) {
        return targets;
    }
    const AdmissionInputs inputs = queue_->queue.inputs(id_, now);
    return fmt::format(" expectedWaitMs={} queue={} reportAgeMs={}{}",
                       std::chrono::duration_cast<Milliseconds>(inputs.expectedWait).count(),
                       inputs.queueLength, newestReportAge(*request_.service, now).count(),
                       targets);
}

void reportTargetReleased(Worker &worker, const ActiveService &service)
{
    if (!worker.admissions) {
        return;
    }
    const auto queue = worker.admissions->queues.find(service.configuration.name);
    if (queue != worker.admissions->queues.end()) {
        queue->second->queue.targetReleased(Clock::now());
    }
}

// A response is written to its end although its caller's deadline passes meanwhile: a complete one
// is better late than lost. Only the end of the process must not cut it.
PartPacing bulkPacing(const HostRouteRequest &request)
{
    const auto &admissions = request.worker.admissions;
    if (!admissions || !request.route->configuration.isBulk || !admissions->pacing.hasLimit()) {
        return {};
    }
    return [admissions, &hooks = request.worker.hooks](std::size_t left) {
        const TimePoint now = Clock::now();
        const bool mayWait = hooks.mayStart(now + maxPartWait);
        return admissions->pacing.reserve(left, now, mayWait ? TimePoint::max() : now);
    };
}

} // namespace kumquat
