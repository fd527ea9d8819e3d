#pragma once
/// \file
/// Divides the bodies of bulk responses into parts and decides when each part is written.
/// The link is modelled, because a socket accepts far more bytes than it has sent.

#include "common/BodyPart.h"

#include <algorithm>

namespace kumquat {

/// Paces the bulk responses of one worker. Not thread-safe.
class BulkPacing
{
public:
    /// A short response waits behind bulk bytes for at most its latency objective divided by this,
    /// or for one part where that takes longer.
    static constexpr int shortWaitDivisor = 4;
    /// The smallest part; each one costs the entry a wake-up and a write.
    static constexpr std::size_t minPartBytes = 16 * 1024;
    /// On a fast link a part is as long as the link moves in this time.
    static constexpr Milliseconds partTime { 20 };
    /// Parts under way at a time: while one is sent, the next one waits in the socket, so that a
    /// late wake-up leaves the link busy.
    static constexpr int maxParts = 2;
    /// A latency objective counts for at least this long after its last request, and for at most
    /// twice as long.
    static constexpr Seconds objectivePeriod { 60 };

    /// \p linkMbps is the bandwidth of the link; 0: no limit.
    explicit BulkPacing(double linkMbps = 0)
        : bytesPerSecond_(linkMbps * bytesPerMegabit),
          partBytes_(std::max(minPartBytes,
                              static_cast<std::size_t>(bytesPerSecond_ * toSeconds(partTime))))
    {
    }

    bool hasLimit() const { return bytesPerSecond_ > 0; }

    /// Takes the latency objective of a request whose response is short into account.
    void recordShortObjective(Milliseconds objective, TimePoint now)
    {
        forgetUnusedObjectives(now);
        shortestObjective_ = std::min(shortestObjective_, objective);
    }

    /// Reserves the link for the next part of a body with \p left bytes; the caller writes it at
    /// its start. Responses that reserve one part after another take turns. A part that would start
    /// after \p latest is the whole rest instead, written at \p latest.
    BodyPart reserve(std::size_t left, TimePoint now, TimePoint latest = TimePoint::max())
    {
        if (!hasLimit()) {
            return { left, now };
        }
        BodyPart part { std::min(left, partBytes_), now };
        part.start = std::max(now, idleAt_ - room(part.bytes, now));
        if (part.start > latest) {
            part = { left, std::max(now, latest) };
        }
        idleAt_ = std::max(idleAt_, part.start) + transferTime(part.bytes);
        return part;
    }

    /// The time that the link needs for the bulk bytes reserved so far.
    Clock::duration backlog(TimePoint now) const
    {
        return std::max(Clock::duration(0), idleAt_ - now);
    }

    /// The time that the link may need for the bulk bytes under way.
    Clock::duration maxBacklog(TimePoint now)
    {
        forgetUnusedObjectives(now);
        const Milliseconds objective = std::min(shortestObjective_, shortestBefore_);
        return std::min<Clock::duration>(objective / shortWaitDivisor,
                                         transferTime(partBytes_) * maxParts);
    }

private:
    static constexpr double bytesPerMegabit = 125'000;
    static constexpr Milliseconds noObjective { 4'000 };

    static constexpr double toSeconds(Milliseconds time)
    {
        return std::chrono::duration<double>(time).count();
    }

    Clock::duration transferTime(std::size_t bytes) const
    {
        const std::chrono::duration<double> time(static_cast<double>(bytes) / bytesPerSecond_);
        return std::chrono::duration_cast<Clock::duration>(time);
    }

    Clock::duration room(std::size_t bytes, TimePoint now)
    {
        return std::max(Clock::duration(0), maxBacklog(now) - transferTime(bytes));
    }

    void forgetUnusedObjectives(TimePoint now)
    {
        const auto elapsed = now - periodStart_;
        if (elapsed < objectivePeriod) {
            return;
        }
        shortestBefore_ = elapsed < 2 * objectivePeriod ? shortestObjective_ : noObjective;
        shortestObjective_ = noObjective;
        periodStart_ = now;
    }

    double bytesPerSecond_;
    std::size_t partBytes_;
    Milliseconds shortestObjective_ = noObjective; ///< in this period
    Milliseconds shortestBefore_ = noObjective; ///< in the period before
    TimePoint periodStart_;
    TimePoint idleAt_; ///< when the link has sent all that was reserved
};

} // namespace kumquat
