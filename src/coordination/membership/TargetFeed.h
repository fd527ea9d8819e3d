#pragma once
/// \file
/// Holds what one member of the control group knows of the targets, in the order of its changes.
/// It is plain data: announcements and other members' feeds go in, followers read from a cursor.

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

    /// \p lease is how long a target may be silent before it is called so.
    explicit TargetFeed(Milliseconds lease) : lease_(lease) { }

    /// Takes what a target says, or what another member heard; true when followers must know.
    bool merge(const TargetRecord &record, TimePoint now);

    /// Takes a heartbeat that another member heard.
    void renew(const FeedRenewal &renewal, TimePoint now);

    /// Takes a suspicion; true when it is new.
    bool addSuspicion(const FeedSuspicion &suspicion);

    /// Marks the targets that have been silent for the lease and forgets old departures; true
    /// when followers must know.
    bool expire(TimePoint now);

    const TargetRecord *find(const std::string &name) const;
    std::size_t size() const { return targets_.size(); }
    std::uint64_t cursor() const { return cursor_; }

    /// What changed after \p cursor.
    std::vector<FeedItem> itemsAfter(std::uint64_t cursor) const;
    std::vector<FeedSuspicion> suspicionsAfter(std::uint64_t cursor) const;

    /// Heartbeats heard from targets directly since \p since.
    std::vector<FeedRenewal> renewalsSince(TimePoint since) const;

private:
    struct StoredTarget
    {
        FeedItem item;
        std::uint64_t cursor = 0;
        TimePoint lastHeartbeatAt; ///< by any member
        TimePoint lastMergedAt; ///< by this member
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
