#pragma once
/// \file
/// Receives the announcements of targets and serves the target feed to entries and other members.
/// A departure is confirmed only after a majority of the group has it on disk; live entries are
/// waited for as well, but only for a bounded time.

#include "coordination/control/TargetCache.h"
#include "protocol/ConfigurationVersion.h"
#include "protocol/Dialect.h"
#include "transport/HttpServer.h"

namespace kumquat {

struct TargetRegistryHooks
{
    /// The processes of the group, including this one.
    std::function<std::vector<FeedMember>()> members;
    /// Adds the version of a configuration and the evacuations, where they are newer than the
    /// poll's and this member may announce them.
    std::function<void(const FeedPoll &, FeedResponse &, Yield)> attachNewerVersion;
    /// True when this member leads and holds a configuration newer than the poll's, or holds newer
    /// evacuations.
    std::function<bool(const FeedPoll &)> hasNewerVersion;
    /// True when the configuration in force limits the requests to cold targets of the service.
    TargetFeed::LimitsColdTargets limitsColdTargets;
    /// As in TargetCacheHooks.
    std::function<void(std::function<absl::Status()> work, std::function<void(absl::Status)> done)>
        runDiskWork;
};

struct TargetRegistryOptions
{
    std::string name;
    Milliseconds heartbeatInterval { 1'500 }; ///< time between two announcements of a target
};

class TargetRegistry
{
public:
    TargetRegistry(asio::io_context &context, TargetRegistryOptions options, const Dialect &dialect,
                   Disk disk, TargetRegistryHooks hooks);

    /// Reads the targets that were known before a restart. Call it once, before anything else.
    void loadTargets() { cache_.load(); }

    /// Responds to a target's heartbeat or departure.
    HttpResponse handleAnnouncement(const HttpRequest &request, Yield yield);
    HttpResponse handlePoll(const HttpRequest &request, Yield yield);

    /// Merges another member's feed into this one.
    void merge(const FeedResponse &response);
    /// Waits, for a short time, until all departures known now are on disk; false if they are not.
    bool waitUntilStored(Yield yield);

    /// Waits, for a short time, until all live entries have evacuations at least as new; false if
    /// they have not.
    bool waitForEvacuations(const ConfigurationVersion &version, Yield yield);

    /// Must be called several times a second.
    void tick();
    /// Makes the waiting polls check again for changes, as after a new configuration.
    void wakeWaitingPolls();

    const TargetFeed &feed() const { return feed_; }
    const TargetCache &cache() const { return cache_; }
    std::size_t subscriberCount() const { return subscribers_.size(); }

private:
    struct Subscriber
    {
        std::uint64_t sessionId = 0; ///< random number drawn at the subscriber's start
        std::uint64_t acknowledgedCursor = 0;
        bool isMember = false;
        bool tracksEvacuations = false;
        ConfigurationVersion evacuations; ///< acknowledged
        std::string reportAddress;
        TimePoint polledAt;
        TimePoint renewalsSentAt;
    };

    HttpResponse applyRecord(const TargetRecord &record, Yield yield);
    bool waitForAcknowledgements(std::uint64_t cursor, Yield yield);
    bool storedByMajority(std::uint64_t cursor) const;
    bool entriesAcknowledged(std::uint64_t cursor, TimePoint now) const;
    bool entriesHaveEvacuations(const ConfigurationVersion &version, TimePoint now) const;
    Subscriber &updateSubscriber(const FeedPoll &poll);
    void addEntryAddresses(const FeedPoll &poll, FeedResponse &response) const;
    FeedResponse makeResponse(const FeedPoll &poll, Subscriber &subscriber);
    void waitForChanges(const FeedPoll &poll, std::uint64_t known, Yield yield);

    asio::io_context &context_;
    TargetRegistryOptions options_;
    const Dialect &dialect_;
    TargetRegistryHooks hooks_;
    TargetFeed feed_;
    TargetCache cache_;
    std::uint64_t sessionId_; ///< random number drawn at this member's start
    std::map<std::string, Subscriber> subscribers_;
    std::set<Timer *> waitingTimers_;
};

} // namespace kumquat
