#pragma once
/// \file
/// Follows the feeds of all members of the control group at once, from a few seeds on.
/// It keeps one waiting call at each member and learns of further members from the answers.

#include "protocol/FeedMessage.h"
#include "transport/HttpClient.h"

#include <set>

namespace kumquat {

struct ControlFeedHooks
{
    /// Adds what the poll should carry besides its cursor.
    std::function<void(FeedPoll &)> fillPoll;
    /// Takes an answer; \p member is its address.
    std::function<void(const std::string &member, const FeedResponse &)> responseReceived;
    /// A member has begun or ceased to answer.
    std::function<void(const std::string &member, bool reachable)> reachabilityChanged;
};

struct ControlFeedOptions
{
    std::string subscriber;
    std::string ownAddress; ///< never followed; empty for entries
    bool isMember = false;
};

class ControlFeed
{
public:
    ControlFeed(asio::io_context &context, std::shared_ptr<Authenticator> authenticator,
                ControlFeedOptions options, ControlFeedHooks hooks);

    /// Follows \p address from now on, for good when it is a \p seed.
    void subscribe(const std::string &address, bool isSeed);

    /// Replaces the seeds, as after a change of settings.
    void setSeeds(const std::vector<std::string> &addresses);

    std::vector<std::string> addresses() const;
    std::size_t reachableCount() const;

    /// True when a call that began after \p time has been answered.
    bool answeredSince(TimePoint time) const { return latestAnsweredPoll_ >= time; }

private:
    struct Subscription
    {
        bool isSeed = false;
        bool reachable = false;
        TimePoint lastListedAt; ///< when an answer last named it
        std::uint64_t feedSessionId = 0;
        std::uint64_t cursor = 0;
        std::uint64_t knownEntriesHash = 0;
    };

    void pollRepeatedly(const std::string &address, Yield yield);
    bool poll(const std::string &address, Subscription &subscription, Yield yield);
    void setReachable(const std::string &address, Subscription &subscription, bool reachable);

    asio::io_context &context_;
    HttpClient client_;
    ControlFeedOptions options_;
    ControlFeedHooks hooks_;
    std::uint64_t sessionId_;
    std::map<std::string, Subscription> subscriptions_;
    TimePoint latestAnsweredPoll_;
};

} // namespace kumquat
