#pragma once
/// \file
/// Holds what one member of the control group knows of the targets, numbered by change.
/// Announcements and other members' feeds update it; subscribers read what follows their cursor.

#include "common/Time.h"
#include "protocol/FeedMessage.h"

#include <deque>
#include <functional>
#include <map>
#include <set>

namespace kumquat {

class TargetFeed
{
public:
    /// A target that is gone, or silent, is remembered this long, so that a late heartbeat cannot
    /// revive it.
    static constexpr Milliseconds goneRetention { 600'000 };
    /// Of the targets that are gone or silent, no more than this many are remembered.
    static constexpr std::size_t maxEnded = 16'384;
    static constexpr std::size_t maxSuspicions = 4'096;

    /// True when the configuration limits the requests to cold targets of \p service.
    using LimitsColdTargets = std::function<bool(const std::string &service)>;

    /// \p lease is how long a target may go without a heartbeat before its lease has expired. Only
    /// subscribers to services for which \p limitsColdTargets is true are told when a target turns
    /// cold; without that function all are.
    explicit TargetFeed(Milliseconds lease, LimitsColdTargets limitsColdTargets = nullptr)
        : lease_(lease), limitsColdTargets_(std::move(limitsColdTargets))
    {
    }

    /// Merges a record that a target announced to this member. True when subscribers must be told.
    bool merge(const TargetRecord &record, TimePoint now);

    /// Merges an item that another member passed on or that was read from disk. It counts as heard
    /// when its age says. True when subscribers must be told.
    bool mergeItem(const FeedItem &item, TimePoint now);

    /// Applies a heartbeat that another member received. True when subscribers must be told.
    bool renew(const FeedRenewal &renewal, TimePoint now);

    /// Adds a suspicion; true when it is new.
    bool addSuspicion(const FeedSuspicion &suspicion);

    /// Marks targets whose lease has expired and removes those that have been gone or silent for
    /// `goneRetention`; true when subscribers must be told of an expired lease.
    bool expire(TimePoint now);

    const TargetRecord *find(const std::string &name) const;
    /// The cursor of the latest change of a target; 0 if it is unknown.
    std::uint64_t cursorOf(const std::string &name) const;
    std::size_t size() const { return targets_.size(); }
    std::uint64_t cursor() const { return cursor_; }
    /// The cursor of the latest change to a target that drains or is gone.
    std::uint64_t departureCursor() const { return departureCursor_; }

    /// The targets and suspicions that changed after \p cursor.
    std::vector<FeedItem> itemsAfter(std::uint64_t cursor, TimePoint now) const;
    std::vector<FeedSuspicion> suspicionsAfter(std::uint64_t cursor) const;

    /// The latest heartbeats that targets sent to this member after \p since; not of those gone.
    std::vector<FeedRenewal> renewalsSince(TimePoint since, TimePoint now) const;

private:
    struct StoredTarget
    {
        FeedItem item;
        std::uint64_t cursor = 0;
        TimePoint lastHeartbeatAt; ///< received by any member
        TimePoint lastMergedAt; ///< of the last record that merge() took
        TimePoint coldUntil; ///< as subscribers were told, or earlier if the target has said less
        TimePoint goneAt;
        bool isNew() const { return cursor == 0; }
    };

    struct StoredSuspicion
    {
        FeedSuspicion suspicion;
        std::uint64_t cursor = 0;
    };

    bool store(StoredTarget &stored, const TargetRecord &record, bool leaseExpired, bool turnedCold,
               TimePoint now);
    bool recordWarmup(StoredTarget &stored, const TargetRecord &record, TimePoint heard);
    bool renewWarmup(StoredTarget &stored, const FeedRenewal &renewal, TimePoint now);
    void retireEarlierTargets(const TargetRecord &record, TimePoint now);
    void advanceCursor(StoredTarget &stored);
    TimePoint endedAt(const StoredTarget &stored) const;
    void forgetEnded(TimePoint now);

    Milliseconds lease_;
    LimitsColdTargets limitsColdTargets_;
    std::map<std::string, StoredTarget> targets_;
    std::deque<StoredSuspicion> suspicions_;
    std::set<std::pair<std::uint64_t, std::string>> knownSuspicions_;
    std::uint64_t cursor_ = 0;
    std::uint64_t departureCursor_ = 0;
};

} // namespace kumquat
