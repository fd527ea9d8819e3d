#pragma once
/// \file
/// Holds what one member of the control group knows of the targets, numbered by change.
/// Announcements and other members' feeds update it; subscribers read what follows their cursor.

#include "common/Time.h"
#include "protocol/FeedMessage.h"

#include <deque>
#include <map>
#include <set>

namespace kumquat {

class TargetFeed
{
public:
    /// A target that is gone is remembered this long, so that a late heartbeat cannot revive it.
    static constexpr Milliseconds goneRetention { 600'000 };
    static constexpr std::size_t maxSuspicions = 4'096;

    /// \p lease is how long a target may go without a heartbeat before its lease has expired.
    explicit TargetFeed(Milliseconds lease) : lease_(lease) { }

    /// Merges a record that a target announced or another member passed on. True when
    /// subscribers must be told.
    bool merge(const TargetRecord &record, TimePoint now);

    /// Applies a heartbeat that another member received.
    void renew(const FeedRenewal &renewal, TimePoint now);

    /// Adds a suspicion; true when it is new.
    bool addSuspicion(const FeedSuspicion &suspicion);

    /// Marks targets whose lease has expired and removes those that have been gone for
    /// `goneRetention`; true when subscribers must be told of an expired lease.
    bool expire(TimePoint now);

    const TargetRecord *find(const std::string &name) const;
    std::size_t size() const { return targets_.size(); }
    std::uint64_t cursor() const { return cursor_; }

    /// The targets and suspicions that changed after \p cursor.
    std::vector<FeedItem> itemsAfter(std::uint64_t cursor) const;
    std::vector<FeedSuspicion> suspicionsAfter(std::uint64_t cursor) const;

    /// The latest heartbeats that merge() took after \p since, of targets that are not gone.
    std::vector<FeedRenewal> renewalsSince(TimePoint since) const;

private:
    struct StoredTarget
    {
        FeedItem item;
        std::uint64_t cursor = 0;
        TimePoint lastHeartbeatAt; ///< received by any member
        TimePoint lastMergedAt; ///< of the last record that merge() took
        TimePoint goneAt;
    };

    struct StoredSuspicion
    {
        FeedSuspicion suspicion;
        std::uint64_t cursor = 0;
    };

    void retireEarlierTargets(const TargetRecord &record, TimePoint now);
    void advanceCursor(StoredTarget &stored) { stored.cursor = ++cursor_; }

    Milliseconds lease_;
    std::map<std::string, StoredTarget> targets_;
    std::deque<StoredSuspicion> suspicions_;
    std::set<std::pair<std::uint64_t, std::string>> knownSuspicions_;
    std::uint64_t cursor_ = 0;
};

} // namespace kumquat
