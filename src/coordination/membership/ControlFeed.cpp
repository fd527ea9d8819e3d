#include "coordination/membership/ControlFeed.h"

#include "protocol/Codec.h"
#include "protocol/Wire.h"
#include "transport/Spawn.h"

namespace kumquat {

namespace {

/// How long a member may hold a call open; a silent connection is noticed after it.
constexpr Milliseconds pollWait { 800 };
/// Beyond the wait, for the way there and back.
constexpr Milliseconds pollGrace { 500 };
constexpr Milliseconds retryPause { 60 };
/// A member that no answer names any more is left alone after this.
constexpr Milliseconds forgetAfter { 20'000 };

} // namespace

ControlFeed::ControlFeed(asio::io_context &context, std::shared_ptr<Authenticator> authenticator,
                         ControlFeedOptions options, ControlFeedHooks hooks)
    : context_(context), client_(context, std::move(authenticator)), options_(std::move(options)),
      hooks_(std::move(hooks)), life_(randomSeed())
{
}

void ControlFeed::follow(const std::string &address, bool seed)
{
    if (address == options_.ownAddress || !parseAddress(address).ok()) {
        return;
    }
    const bool known = links_.count(address) > 0;
    Link &link = links_[address];
    link.seed = link.seed || seed;
    link.listedAt = Clock::now();
    if (!known) {
        spawnOn(context_, [this, address](Yield yield) { run(address, yield); });
    }
}

void ControlFeed::setSeeds(const std::vector<std::string> &addresses)
{
    for (auto &entry : links_) {
        entry.second.seed = false;
    }
    for (const std::string &address : addresses) {
        follow(address, true);
    }
}

std::vector<std::string> ControlFeed::addresses() const
{
    std::vector<std::string> list;
    list.reserve(links_.size());
    for (const auto &entry : links_) {
        list.push_back(entry.first);
    }
    return list;
}

std::size_t ControlFeed::reachable() const
{
    std::size_t count = 0;
    for (const auto &entry : links_) {
        count += entry.second.reachable ? 1 : 0;
    }
    return count;
}

void ControlFeed::run(const std::string &address, Yield yield)
{
    while (true) {
        Link &link = links_[address];
        const bool answered = poll(address, link, yield);
        setReachable(address, link, answered);
        if (answered) {
            continue;
        }
        // The last way to the group is never given up.
        const bool forgotten = Clock::now() - link.listedAt > forgetAfter && !link.seed;
        if (forgotten && links_.size() > 1) {
            links_.erase(address);
            return;
        }
        pauseFor(context_, retryPause, yield);
    }
}

bool ControlFeed::poll(const std::string &address, Link &link, Yield yield)
{
    FeedPoll poll;
    poll.subscriber = options_.subscriber;
    poll.subscriberSessionId = life_;
    poll.isMember = options_.isMember;
    poll.feedSessionId = link.feedSessionId;
    poll.cursor = link.cursor;
    poll.knownEntriesHash = link.knownEntriesHash;
    poll.waitMs = link.reachable ? pollWait.count() : 0;
    hooks_.fillPoll(poll);
    const TimePoint started = Clock::now();
    const auto response = client_.post(*parseAddress(address), wire::feedPath, pack(poll),
                                       pollWait + pollGrace, yield);
    if (!response.ok() || response->result() != http::status::ok) {
        return false;
    }
    const auto answer = unpack<FeedResponse>(response->body());
    if (!answer.ok()) {
        return false;
    }
    link.feedSessionId = answer->feedSessionId;
    link.cursor = answer->cursor;
    link.knownEntriesHash = answer->entriesHash;
    link.listedAt = Clock::now();
    newestAnswered_ = std::max(newestAnswered_, started);
    for (const FeedMember &member : answer->members) {
        follow(member.address, false);
    }
    hooks_.take(address, *answer);
    return true;
}

void ControlFeed::setReachable(const std::string &address, Link &link, bool reachable)
{
    if (link.reachable != reachable) {
        link.reachable = reachable;
        link.knownEntriesHash = 0;
        hooks_.reachabilityChanged(address, reachable);
    }
}

} // namespace kumquat
