#pragma once
/// \file
/// Connects the requests of host routes with the admission queues of their worker.
/// Without queues, each waiting request searches for a target by itself.

#include "coordination/entry/HostRouteCall.h"
#include "coordination/policy/AdmissionQueue.h"
#include "coordination/policy/BulkPacing.h"

namespace kumquat {

/// The queue of one service at one worker, and the part of the service's counter that is its own:
/// each worker has a queue of the service.
struct ServiceQueue
{
    explicit ServiceQueue(std::shared_ptr<ServiceRuntime> serviceRuntime)
        : runtime(std::move(serviceRuntime))
    {
    }
    ~ServiceQueue() { runtime->counters.queued -= reported; }

    ServiceQueue(const ServiceQueue &) = delete;
    ServiceQueue &operator=(const ServiceQueue &) = delete;

    /// Updates the counter; to be called after each change of the queue.
    void report();

    AdmissionQueue queue;
    const std::shared_ptr<ServiceRuntime> runtime;
    std::size_t reported = 0; ///< requests that the counter contains
};

/// The queues of one worker, by the names of the services, and its part of the entry's link.
struct HostRouteAdmissions
{
    explicit HostRouteAdmissions(double linkMbps) : pacing(linkMbps) { }

    /// The queue of \p service, which is added if there is none.
    std::shared_ptr<ServiceQueue> queueOf(const ActiveService &service);

    /// Removes the queues of services that \p routing has not, once for each configuration.
    void removeUnused(const RoutingTable &routing);

    std::map<std::string, std::shared_ptr<ServiceQueue>> queues;
    ConfigurationVersion version; ///< for which queues were removed last
    BulkPacing pacing;
};

/// The place of one request in the queue of its service; leaves the queue when destroyed.
class AdmissionPlace
{
public:
    /// \p wake is called when the request should ask for a decision before nextDecision().
    AdmissionPlace(HostRouteRequest &request, TimePoint waitEnd, std::function<void()> wake);
    ~AdmissionPlace();
    AdmissionPlace(const AdmissionPlace &) = delete;
    AdmissionPlace &operator=(const AdmissionPlace &) = delete;

    AdmissionDecision decide(TimePoint now);
    TimePoint nextDecision(TimePoint now) const;
    void searchFailed(bool allFull, bool anyTarget, TimePoint now);
    void started(TimePoint now);

    /// What a refusal was based on, for its log event.
    std::string describe(TimePoint now) const;

private:
    HostRouteRequest &request_;
    const std::shared_ptr<ServiceRuntime> runtime_;
    const TimePoint enteredAt_;
    std::shared_ptr<ServiceQueue> queue_; ///< null: no queue, or the request has left it
    AdmissionQueue::Id id_ = 0;
};

/// To be called when a request of \p worker has ended at a target of \p service.
void reportTargetReleased(Worker &worker, const ActiveService &service);

/// The pacing of the response to \p request; empty unless its route is a bulk route and the entry's
/// link has a limit.
PartPacing bulkPacing(const HostRouteRequest &request);

} // namespace kumquat
