#pragma once
/// \file
/// Defines a target as one entry sees it: its announced record and its observed behaviour.
/// Observations are atomics, because all worker threads read and write them.

#include "common/Time.h"
#include "coordination/policy/ColdTargetLimit.h"
#include "coordination/policy/TargetLeaving.h"
#include "coordination/policy/TargetRest.h"
#include "kumquat/TargetRecord.h"
#include "protocol/Headers.h"
#include "transport/Address.h"

#include <atomic>
#include <memory>
#include <optional>

namespace kumquat {

/// What this entry has observed of a target; survives changes of the target's record.
class TargetStats
{
public:
    /// \p leaving is shared by all incarnations of the target.
    explicit TargetStats(std::uint64_t incarnation,
                         std::shared_ptr<TargetLeaving> leaving = std::make_shared<TargetLeaving>())
        : incarnation_(incarnation), leaving_(std::move(leaving))
    {
    }

    /// The incarnation that was observed; a restarted target gets new statistics.
    std::uint64_t incarnation() const { return incarnation_; }

    /// Records that the target said in a response that it leaves; true when that was not known.
    bool recordLeaving() { return leaving_->record(incarnation_); }
    bool isLeaving() const { return leaving_->covers(incarnation_); }
    const std::shared_ptr<TargetLeaving> &leaving() const { return leaving_; }

    /// The rest that the target asked for.
    TargetRest &rest() { return rest_; }
    const TargetRest &rest() const { return rest_; }

    /// Whether the target is cold; the limit applies only where the service sets one.
    ColdTargetLimit &coldLimit() { return coldLimit_; }
    const ColdTargetLimit &coldLimit() const { return coldLimit_; }
    /// The target is cold from now on, unless it says otherwise.
    void assumeCold(TimePoint now) { coldLimit_.assumeCold(now); }

    /// Counts a request as in flight; false when \p limit are already in flight.
    bool tryAcquire(int limit);
    void release() { inFlight_.fetch_sub(1, std::memory_order_relaxed); }
    int inFlight() const { return inFlight_.load(std::memory_order_relaxed); }

    /// Records a complete response after \p elapsed; \p failed for a server error.
    void recordResponse(Clock::duration elapsed, bool failed, TimePoint now);
    /// Records an attempt that ended without a complete response.
    void recordFailure(TimePoint now);
    /// Records that the target rejected a request without running it.
    void recordShed(TimePoint now);

    /// Records how many requests the target reported to have, running and waiting.
    void recordReportedInFlight(int inFlight, TimePoint now);

    /// Records a report that the target sent to this entry. It counts \p ownCompleted requests of
    /// this entry that have ended since.
    void recordLoadReport(const LoadReport &report, int ownCompleted, TimePoint now);
    /// Records a report that another entry got at \p reportTime, unless a newer one is known.
    void recordPeerReport(const LoadReport &report, TimePoint reportTime);
    /// When the target last reported to this entry, and how many requests it had then.
    TimePoint lastDirectReportAt() const { return load(lastDirectReportAt_); }
    int reportedInFlight() const { return reportedInFlight_.load(std::memory_order_relaxed); }
    /// The service time last reported, divided by the normal one; 1 is normal.
    double reportedSlowdown() const { return reportedSlowdown_.load(std::memory_order_relaxed); }
    /// Requests of other entries there at the time of the last report.
    double reportedExternalLoad() const
    {
        return reportedExternalLoad_.load(std::memory_order_relaxed);
    }
    /// Time of the last report, direct or from another entry.
    TimePoint reportedAt() const { return load(reportedAt_); }

    /// Records that the target did not respond to a probe or accept a request; it is not selected
    /// for a short period.
    void markUnresponsive(TimePoint now) { store(unresponsiveAt_, now); }
    bool isUnresponsive(TimePoint now) const;

    /// Requests that other entries are estimated to have in flight there now.
    double externalLoad(TimePoint now) const;

    /// Moving averages; zero before the first response.
    double latencyUs() const { return latencyUs_.load(std::memory_order_relaxed); }
    double errorRate() const { return errorRate_.load(std::memory_order_relaxed); }
    bool shedRecently(TimePoint now) const;

    /// Complete responses.
    std::uint64_t responses() const { return responses_.load(std::memory_order_relaxed); }
    /// Time of the last response of any kind, errors and rejections included.
    TimePoint lastResponseAt() const { return load(lastResponseAt_); }

    void eject(TimePoint until) { store(ejectedUntil_, until); }
    bool isEjected(TimePoint now) const { return now < load(ejectedUntil_); }

    /// Idle connections last used before \p now must not be reused.
    void invalidateIdleConnections(TimePoint now) { store(idleConnectionsValidFrom_, now); }
    TimePoint idleConnectionsValidFrom() const { return load(idleConnectionsValidFrom_); }

    /// Starts slow start: the in-flight limit grows to its full value during \p slowStartTime.
    void markReady(TimePoint now, Milliseconds slowStartTime)
    {
        slowStartTime_.store(slowStartTime.count(), std::memory_order_relaxed);
        store(readySince_, now);
    }
    Milliseconds slowStartTime() const
    {
        return Milliseconds(slowStartTime_.load(std::memory_order_relaxed));
    }
    TimePoint readySince() const { return load(readySince_); }

    /// A target whose lease expired is unreachable until it responds again.
    void setUnreachable(bool unreachable) { unreachable_.store(unreachable); }
    bool isUnreachable() const { return unreachable_.load(std::memory_order_relaxed); }

    /// New requests must not go to a target in an evacuated failure domain. Kept here and not in
    /// the routing table, so that requests with an older table see it too.
    void setEvacuated(bool evacuated) { evacuated_.store(evacuated, std::memory_order_relaxed); }
    bool isEvacuated() const { return evacuated_.load(std::memory_order_relaxed); }

    /// Resets error rate and latency when a target returns from ejection.
    void resetObservations();

private:
    using Ticks = std::atomic<Clock::rep>;

    static TimePoint load(const Ticks &ticks)
    {
        return TimePoint(Clock::duration(ticks.load(std::memory_order_relaxed)));
    }
    static void store(Ticks &ticks, TimePoint time)
    {
        ticks.store(time.time_since_epoch().count(), std::memory_order_relaxed);
    }

    const std::uint64_t incarnation_;
    const std::shared_ptr<TargetLeaving> leaving_;
    TargetRest rest_;
    ColdTargetLimit coldLimit_;
    std::atomic<int> inFlight_ { 0 };
    std::atomic<double> latencyUs_ { 0 };
    std::atomic<double> errorRate_ { 0 };
    std::atomic<double> reportedExternalLoad_ { 0 };
    std::atomic<std::uint64_t> responses_ { 0 };
    std::atomic<bool> unreachable_ { false };
    std::atomic<bool> evacuated_ { false };
    std::atomic<Milliseconds::rep> slowStartTime_ { 0 };
    std::atomic<double> reportedSlowdown_ { 1 };
    std::atomic<int> reportedInFlight_ { 0 };
    Ticks lastDirectReportAt_ { 0 };
    Ticks unresponsiveAt_ { 0 };
    Ticks reportedAt_ { 0 };
    Ticks lastResponseAt_ { 0 };
    Ticks lastShedAt_ { 0 };
    Ticks ejectedUntil_ { 0 };
    Ticks idleConnectionsValidFrom_ { 0 };
    Ticks readySince_ { 0 };
};

struct Target
{
    TargetRecord record;
    Address address;
    std::shared_ptr<TargetStats> stats;
    bool inSubset = true; ///< in the part of the service's targets that this entry prefers
    std::optional<std::size_t> entryRank = std::nullopt; ///< entryRank() of this entry, if known
    bool hasColdLimit = false; ///< its service limits the requests to cold targets
};

using TargetPtr = std::shared_ptr<const Target>;

/// Requests this entry may have in flight at \p target: its share of slots * \p slotsFactor among
/// \p entries live entries, at least one; lower during slow start.
int inFlightLimit(const Target &target, double slotsFactor, std::size_t entries, TimePoint now);

/// True when new requests may go to \p target: it is ready, responds, has asked for no rest, and
/// its failure domain is not evacuated.
bool isUsable(const Target &target, TimePoint now);

} // namespace kumquat
