#pragma once
/// \file
/// Subscribes to the feed of every member of the control group, starting from a few seeds.
/// It keeps one long poll open at each member and learns of further members from the responses.

#include "protocol/FeedMessage.h"
#include "transport/HttpClient.h"

#include <set>

namespace kumquat {

struct ControlFeedHooks
{
    /// Sets the members of the poll that the subscriber supplies, such as its suspicions.
    std::function<void(FeedPoll &)> fillPoll;
    /// Called with each response; \p member is the responding member's address.
    std::function<void(const std::string &member, const FeedResponse &)> responseReceived;
    /// For a member: waits, for a short time, until the departures of all responses so far are on
    /// its disk; false if they are not. Without it every response is acknowledged at once.
    std::function<bool(Yield)> waitUntilStored;
    /// Called when the member at address \p member begins or ceases to respond.
    std::function<void(const std::string &member, bool reachable)> reachabilityChanged;
};

struct ControlFeedOptions
{
    std::string subscriber;
    std::string ownAddress; ///< never polled; empty for entries
    bool isMember = false; ///< the subscriber belongs to the control group
};

class ControlFeed
{
public:
    ControlFeed(asio::io_context &context, std::shared_ptr<Authenticator> authenticator,
                ControlFeedOptions options, ControlFeedHooks hooks);

    /// Polls \p address from now on. A seed is kept even when it does not respond.
    void subscribe(const std::string &address, bool isSeed);

    /// Replaces the seeds, for use after a change of settings.
    void setSeeds(const std::vector<std::string> &addresses);

    std::vector<std::string> addresses() const;
    /// The members that answered the latest poll.
    std::vector<std::string> reachableAddresses() const;
    std::size_t reachableCount() const { return reachableAddresses().size(); }

    /// True when a poll that began at or after \p time was answered.
    bool answeredSince(TimePoint time) const { return latestAnsweredPoll_ >= time; }

private:
    struct Subscription
    {
        bool isSeed = false;
        bool reachable = false;
        TimePoint lastListedAt; ///< when a response last listed it, or it last responded
        std::uint64_t feedSessionId = 0;
        std::uint64_t cursor = 0;
        std::uint64_t storedCursor = 0; ///< the cursor up to which departures are on disk
        std::uint64_t knownEntriesHash = 0;
    };

    bool pollOnce(const std::string &address, Yield yield);
    bool poll(const std::string &address, Subscription &subscription, Yield yield);
    Milliseconds pollWaitOf(const Subscription &subscription) const;
    void setReachable(const std::string &address, Subscription &subscription, bool reachable);

    asio::io_context &context_;
    HttpClient client_;
    ControlFeedOptions options_;
    ControlFeedHooks hooks_;
    std::uint64_t sessionId_;
    std::map<std::string, Subscription> subscriptions_;
    TimePoint latestAnsweredPoll_; ///< the latest start of a poll that was answered
};

} // namespace kumquat
