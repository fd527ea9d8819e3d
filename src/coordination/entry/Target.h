#pragma once
/// \file
/// Defines a target as one entry sees it: its announced record and its observed behaviour.
/// The observations are atomics, since every worker thread reads and writes them.

#include "common/Time.h"
#include "kumquat/TargetRecord.h"
#include "protocol/Headers.h"
#include "transport/Address.h"

#include <atomic>
#include <memory>

namespace kumquat {

/// What this entry has seen of a target; survives changes of the target's record.
class TargetStats
{
public:
    explicit TargetStats(std::uint64_t incarnation) : incarnation_(incarnation) { }

    /// Of the target that was observed; a restarted target starts anew.
    std::uint64_t incarnation() const { return incarnation_; }

    /// Takes a place unless \p limit are taken.
    bool tryAcquire(int limit);
    void release() { inFlight_.fetch_sub(1, std::memory_order_relaxed); }
    int inFlight() const { return inFlight_.load(std::memory_order_relaxed); }

    /// Records an answer after \p elapsed; \p failed for a server error.
    void recordResponse(Clock::duration elapsed, bool failed, TimePoint now);
    /// Records an exchange that brought no whole answer.
    void recordFailure(TimePoint now);
    void recordShed(TimePoint now);

    /// Records what the target says of its own load.
    void recordReportedInFlight(int inFlight, TimePoint now);

    /// Records a whole report; \p ownInside of the requests it counts are this entry's and have
    /// ended since.
    void recordLoadReport(const LoadReport &report, int ownCompleted, TimePoint now);
    /// Records what another entry was told at \p heardAt, unless something newer is known.
    void recordPeerReport(const LoadReport &report, TimePoint reportTime);
    /// When the target last reported to this entry itself, and how many requests it then had.
    TimePoint lastDirectReportAt() const { return load(lastDirectReportAt_); }
    int reportedInFlight() const { return reportedInFlight_.load(std::memory_order_relaxed); }
    double reportedSlowdown() const { return reportedSlowdown_.load(std::memory_order_relaxed); }
    double reportedForeignLoad() const { return reportedForeignLoad_.load(std::memory_order_relaxed); }
    TimePoint reportedAt() const { return load(reportedAt_); }

    /// Notes that a question brought no answer; the target is passed over for a moment.
    void markUnresponsive(TimePoint now) { store(unresponsiveAt_, now); }
    bool isUnresponsive(TimePoint now) const;

    /// Requests that other entries are estimated to have in flight there.
    double foreignLoad(TimePoint now) const;

    /// Moving averages; zero before the first answer.
    double latencyUs() const { return latencyUs_.load(std::memory_order_relaxed); }
    double errorRate() const { return errorRate_.load(std::memory_order_relaxed); }
    bool shedRecently(TimePoint now) const;

    std::uint64_t responses() const { return responses_.load(std::memory_order_relaxed); }
    TimePoint lastResponseAt() const { return load(lastResponseAt_); }

    void eject(TimePoint until) { store(ejectedUntil_, until); }
    bool isEjected(TimePoint now) const { return now < load(ejectedUntil_); }

    /// Idle connections last used before this time are not to be trusted.
    void invalidateIdleConnections(TimePoint now) { store(idleConnectionsValidFrom_, now); }
    TimePoint idleConnectionsValidFrom() const { return load(idleConnectionsValidFrom_); }

    /// New work grows from one request to the full limit during \p ramp.
    void markReady(TimePoint now, Milliseconds ramp)
    {
        ramp_.store(ramp.count(), std::memory_order_relaxed);
        store(readySince_, now);
    }
    Milliseconds ramp() const { return Milliseconds(ramp_.load(std::memory_order_relaxed)); }
    TimePoint readySince() const { return load(readySince_); }

    /// A lease without news makes a target unreachable until it answers again.
    void setUnreachable(bool unreachable) { unreachable_.store(unreachable); }
    bool isUnreachable() const { return unreachable_.load(std::memory_order_relaxed); }

    /// Forgets errors and latency, for a target that comes back after an ejection.
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
    std::atomic<int> inFlight_ { 0 };
    std::atomic<double> latencyUs_ { 0 };
    std::atomic<double> errorRate_ { 0 };
    std::atomic<double> reportedForeignLoad_ { 0 };
    std::atomic<std::uint64_t> responses_ { 0 };
    std::atomic<bool> unreachable_ { false };
    std::atomic<Milliseconds::rep> ramp_ { 0 };
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
    bool inSubset = true; ///< among those that this entry uses first
};

using TargetPtr = std::shared_ptr<const Target>;

/// Requests this entry may have in flight at \p target: its share of slots * \p slotsFactor among
/// \p entries live entries, at least one; lower while the target warms up.
int inFlightLimit(const Target &target, double slotsFactor, std::size_t entries, TimePoint now);

/// True when new work may go to \p target at all.
bool isUsable(const Target &target, TimePoint now);

} // namespace kumquat
