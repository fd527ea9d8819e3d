#pragma once
/// \file
/// Takes what targets announce of themselves and serves the feed that entries and members follow.
/// A departure is acknowledged only when a majority of the group and the live entries know it.

#include "coordination/membership/TargetFeed.h"
#include "protocol/Dialect.h"
#include "transport/HttpServer.h"

namespace kumquat {

struct TargetRegistryHooks
{
    /// The processes of the group, this one included.
    std::function<std::vector<FeedMember>()> members;
    /// Attaches a configuration newer than the poll's when this member may hand one out.
    std::function<void(const FeedPoll &, FeedAnswer &, Yield)> attachNewerConfiguration;
    /// True when this member leads and holds a configuration newer than the poll's.
    std::function<bool(const FeedPoll &)> hasNewerConfiguration;
};

struct TargetRegistryOptions
{
    std::string name;
    Milliseconds heartbeat { 1'500 }; ///< between two announcements of a target
};

class TargetRegistry
{
public:
    TargetRegistry(asio::io_context &context, TargetRegistryOptions options, const Dialect &dialect,
                   TargetRegistryHooks hooks);

    /// Answers a target's heartbeat or departure.
    HttpResponse handleAnnouncement(const HttpRequest &request, Yield yield);
    HttpResponse handlePoll(const HttpRequest &request, Yield yield);

    /// Takes what another member's feed says.
    void merge(const FeedAnswer &answer);

    /// To be called some times a second.
    void tick();
    /// Lets waiting calls look again, as after a change of the configuration.
    void wakeWaitingPolls();

    /// The targets as they are now, for a file that only hints at them after a restart.
    std::string packTargets() const;
    /// Takes the targets of such a file; what targets say themselves goes before it.
    void restoreTargets(const std::string &bytes);

    const TargetFeed &feed() const { return feed_; }
    std::size_t subscriberCount() const { return subscribers_.size(); }

private:
    struct Subscriber
    {
        std::uint64_t life = 0;
        std::uint64_t acknowledged = 0; ///< cursor of this feed
        bool member = false;
        std::string reportAddress;
        TimePoint polledAt;
        TimePoint renewalsSentAt;
    };

    HttpResponse applyRecord(const TargetRecord &record, Yield yield);
    bool waitForAcknowledgements(std::uint64_t cursor, Yield yield);
    bool majorityAcknowledged(std::uint64_t cursor) const;
    bool entriesAcknowledged(std::uint64_t cursor, TimePoint now) const;
    Subscriber &updateSubscriber(const FeedPoll &poll);
    void addEntryAddresses(const FeedPoll &poll, FeedAnswer &answer) const;
    FeedAnswer makeAnswer(const FeedPoll &poll, Subscriber &subscriber);
    void waitForChanges(const FeedPoll &poll, std::uint64_t known, Yield yield);

    asio::io_context &context_;
    TargetRegistryOptions options_;
    const Dialect &dialect_;
    TargetRegistryHooks hooks_;
    TargetFeed feed_;
    std::uint64_t life_;
    std::map<std::string, Subscriber> subscribers_;
    std::set<Timer *> waitingTimers_;
};

} // namespace kumquat
