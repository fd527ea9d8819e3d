#include "coordination/membership/ControlFeed.h"

#include "protocol/Codec.h"
#include "protocol/Wire.h"
#include "transport/Spawn.h"

namespace kumquat {

namespace {

/// How long a member may hold a poll open. A dead connection is noticed after this time and
/// `responseMargin`.
constexpr Milliseconds pollWait { 800 };
/// Added to `pollWait` for the round trip.
constexpr Milliseconds responseMargin { 500 };
constexpr Milliseconds retryInterval { 60 };
/// Replaces `pollWait` while something is not on disk yet, so that it is acknowledged soon after.
constexpr Milliseconds unstoredPollWait { 20 };
/// A member that does not respond is dropped when no response has listed it for this long.
constexpr Milliseconds forgetAfter { 20'000 };

} // namespace

ControlFeed::ControlFeed(asio::io_context &context, std::shared_ptr<Authenticator> authenticator,
                         ControlFeedOptions options, ControlFeedHooks hooks)
    : context_(context), client_(context, std::move(authenticator)), options_(std::move(options)),
      hooks_(std::move(hooks)), sessionId_(randomSeed())
{
}

void ControlFeed::subscribe(const std::string &address, bool isSeed)
{
    if (address == options_.ownAddress || !parseAddress(address).ok()) {
        return;
    }
    const bool alreadySubscribed = subscriptions_.count(address) > 0;
    Subscription &subscription = subscriptions_[address];
    subscription.isSeed = subscription.isSeed || isSeed;
    subscription.lastListedAt = Clock::now();
    if (!alreadySubscribed) {
        // A subscription that cannot be started, or has ended, is subscribed to again when listed.
        spawnOn(
            context_,
            [this, address](Yield yield) {
                repeatOn(
                    context_, [&] { return pollOnce(address, yield); }, yield);
            },
            [this, address] { subscriptions_.erase(address); });
    }
}

void ControlFeed::setSeeds(const std::vector<std::string> &addresses)
{
    for (auto &entry : subscriptions_) {
        entry.second.isSeed = false;
    }
    for (const std::string &address : addresses) {
        subscribe(address, true);
    }
}

std::vector<std::string> ControlFeed::addresses() const
{
    std::vector<std::string> list;
    list.reserve(subscriptions_.size());
    for (const auto &entry : subscriptions_) {
        list.push_back(entry.first);
    }
    return list;
}

std::vector<std::string> ControlFeed::reachableAddresses() const
{
    std::vector<std::string> list;
    for (const auto &entry : subscriptions_) {
        if (entry.second.reachable) {
            list.push_back(entry.first);
        }
    }
    return list;
}

// Returns false when the address was dropped.
bool ControlFeed::pollOnce(const std::string &address, Yield yield)
{
    Subscription &subscription = subscriptions_[address];
    bool answered = false;
    contain([&] { answered = poll(address, subscription, yield); });
    setReachable(address, subscription, answered);
    if (answered) {
        return true;
    }
    // The last known address is never dropped, so that the group can be found again.
    const bool forgotten
        = Clock::now() - subscription.lastListedAt > forgetAfter && !subscription.isSeed;
    if (forgotten && subscriptions_.size() > 1) {
        subscriptions_.erase(address);
        return false;
    }
    pauseFor(context_, retryInterval, yield);
    return true;
}

Milliseconds ControlFeed::pollWaitOf(const Subscription &subscription) const
{
    if (!subscription.reachable) {
        return Milliseconds(0);
    }
    return subscription.storedCursor < subscription.cursor ? unstoredPollWait : pollWait;
}

bool ControlFeed::poll(const std::string &address, Subscription &subscription, Yield yield)
{
    FeedPoll poll;
    poll.subscriber = options_.subscriber;
    poll.subscriberSessionId = sessionId_;
    poll.isMember = options_.isMember;
    poll.feedSessionId = subscription.feedSessionId;
    poll.cursor = subscription.cursor;
    poll.knownEntriesHash = subscription.knownEntriesHash;
    poll.storedCursor = subscription.storedCursor;
    poll.waitMs = pollWaitOf(subscription).count();
    hooks_.fillPoll(poll);
    const TimePoint started = Clock::now();
    const auto httpResponse = client_.post(*parseAddress(address), wire::feedPath, pack(poll),
                                           pollWait + responseMargin, yield);
    if (!httpResponse.ok() || httpResponse->result() != http::status::ok) {
        return false;
    }
    const auto response = unpack<FeedResponse>(httpResponse->body());
    if (!response.ok()) {
        return false;
    }
    if (subscription.feedSessionId != response->feedSessionId) {
        subscription.storedCursor = 0;
    }
    subscription.lastListedAt = Clock::now();
    for (const FeedMember &member : response->members) {
        subscribe(member.address, false);
    }
    hooks_.responseReceived(address, *response);
    // The next poll acknowledges the response, so it must have been taken.
    subscription.feedSessionId = response->feedSessionId;
    subscription.cursor = response->cursor;
    subscription.knownEntriesHash = response->entriesHash;
    latestAnsweredPoll_ = std::max(latestAnsweredPoll_, started);
    if (!hooks_.waitUntilStored || hooks_.waitUntilStored(yield)) {
        subscription.storedCursor = response->cursor;
    }
    return true;
}

void ControlFeed::setReachable(const std::string &address, Subscription &subscription,
                               bool reachable)
{
    if (subscription.reachable != reachable) {
        subscription.reachable = reachable;
        subscription.knownEntriesHash = 0;
        hooks_.reachabilityChanged(address, reachable);
    }
}

} // namespace kumquat
