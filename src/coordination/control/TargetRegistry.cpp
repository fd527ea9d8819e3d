#include "coordination/control/TargetRegistry.h"

#include "common/JsonReader.h"
#include "common/Random.h"
#include "kumquat/Event.h"
#include "protocol/Codec.h"
#include "protocol/Wire.h"
#include "transport/Spawn.h"

#include <algorithm>
#include <xxhash.h>

namespace kumquat {

namespace {

/// A target's lease expires after this many missed heartbeats.
constexpr int heartbeatsPerLease = 4;
/// Less than the second after which a target gives up on the response.
constexpr Milliseconds majorityTimeout { 850 };
/// Longest wait for entries to acknowledge; slower ones have the rest of the drain to learn of it.
constexpr Milliseconds entryTimeout { 500 };
/// A subscriber that has not polled for this long is not waited for.
constexpr Milliseconds subscriberTimeout { 2'000 };
constexpr Milliseconds forgetSubscriberAfter { 30'000 };
constexpr Milliseconds acknowledgementPollInterval { 5 };
constexpr Milliseconds storePollInterval { 1 };
/// A member whose disk is slower than this goes on polling without acknowledging.
constexpr Milliseconds storeTimeout { 500 };
constexpr Milliseconds maxPollWait { 5'000 };
/// Delay between a change and the response to a poll, so that one response carries several changes.
constexpr Milliseconds batchDelay { 15 };

} // namespace

TargetRegistry::TargetRegistry(asio::io_context &context, TargetRegistryOptions options,
                               const Dialect &dialect, Disk disk, TargetRegistryHooks hooks)
    : context_(context), options_(std::move(options)), dialect_(dialect), hooks_(std::move(hooks)),
      feed_(options_.heartbeatInterval * heartbeatsPerLease, hooks_.limitsColdTargets),
      cache_(std::move(disk), feed_, { hooks_.runDiskWork, Clock::now }), sessionId_(randomSeed())
{
}

HttpResponse TargetRegistry::handleAnnouncement(const HttpRequest &request, Yield yield)
{
    const std::string path(request.target());
    const std::string name = path.substr(sizeof(wire::targetsPath) - 1);
    const bool isDeparture = request.method() == http::verb::delete_;
    const auto record = isDeparture ? dialect_.parseDeparture(name, request.body())
                                    : dialect_.parseAnnouncement(name, request.body());
    if (!record.ok()) {
        logEvent(Event::announcementRejected, LogLevel::warning, "target={} {}", name,
                 std::string(record.status().message()));
        return errorResponse(http::status::bad_request, record.status());
    }
    TargetRecord announced = *record;
    const TargetRecord *current = feed_.find(announced.name);
    // Without an incarnation it would not hold against the record that other members may have.
    if (current == nullptr && isDeparture && record->incarnation == 0) {
        return errorResponse(http::status::service_unavailable,
                             makeError(ErrorKind::unavailable,
                                       "this member does not know the target, and the departure "
                                       "names no incarnation",
                                       "send it to another member"));
    }
    if (current != nullptr && isDeparture) {
        announced = *current;
        announced.state = TargetState::gone;
        announced.incarnation
            = record->incarnation == 0 ? current->incarnation : record->incarnation;
    }
    return applyRecord(announced, yield);
}

HttpResponse TargetRegistry::applyRecord(const TargetRecord &record, Yield yield)
{
    const bool isDeparting = record.state >= TargetState::draining;
    if (feed_.merge(record, Clock::now())) {
        logEvent(isDeparting ? Event::targetDraining : Event::targetAnnounced, LogLevel::info,
                 "target={} service={} state={} incarnation={} version={}", record.name,
                 record.service, targetStateName(record.state), record.incarnation, record.version);
        wakeWaitingPolls();
    }
    if (isDeparting && !waitForAcknowledgements(feed_.cursorOf(record.name), yield)) {
        logEvent(Event::departureNotConfirmed, LogLevel::warning, "target={} incarnation={}",
                 record.name, record.incarnation);
        return errorResponse(http::status::service_unavailable,
                             makeError(ErrorKind::unavailable,
                                       "no majority of the group has stored the departure yet",
                                       "send it to another member"));
    }
    return textResponse(http::status::ok, "{}");
}

// Entries poll every member, so an entry connected to a majority learns what a majority knows.
// Waiting for the entries as well lets them know it before the departure is confirmed.
bool TargetRegistry::waitForAcknowledgements(std::uint64_t cursor, Yield yield)
{
    const TimePoint start = Clock::now();
    cache_.flush();
    bool hasMajority = storedByMajority(cursor);
    while (Clock::now() - start < majorityTimeout) {
        const bool haveEntries
            = entriesAcknowledged(cursor, Clock::now()) || Clock::now() - start > entryTimeout;
        if (hasMajority && haveEntries) {
            return true;
        }
        pauseFor(context_, acknowledgementPollInterval, yield);
        hasMajority = storedByMajority(cursor);
    }
    return hasMajority;
}

// A process that is killed forgets what it only holds in memory, and all may be killed at once.
bool TargetRegistry::storedByMajority(std::uint64_t cursor) const
{
    std::size_t voters = 0;
    std::size_t copies = 0;
    for (const FeedMember &member : hooks_.members()) {
        if (!member.voter) {
            continue;
        }
        ++voters;
        const auto subscriber = subscribers_.find(member.name);
        const bool isStored = member.name == options_.name
            ? cache_.storedCursor() >= cursor
            : subscriber != subscribers_.end() && subscriber->second.acknowledgedCursor >= cursor;
        copies += isStored ? 1 : 0;
    }
    return voters > 0 && copies > voters / 2;
}

bool TargetRegistry::entriesAcknowledged(std::uint64_t cursor, TimePoint now) const
{
    for (const auto &entry : subscribers_) {
        const Subscriber &subscriber = entry.second;
        const bool isLive = now - subscriber.polledAt < subscriberTimeout;
        if (!subscriber.isMember && isLive && subscriber.acknowledgedCursor < cursor) {
            return false;
        }
    }
    return true;
}

bool TargetRegistry::waitForEvacuations(const ConfigurationVersion &version, Yield yield)
{
    const TimePoint end = Clock::now() + entryTimeout;
    while (!entriesHaveEvacuations(version, Clock::now()) && Clock::now() < end) {
        pauseFor(context_, acknowledgementPollInterval, yield);
    }
    return entriesHaveEvacuations(version, Clock::now());
}

bool TargetRegistry::entriesHaveEvacuations(const ConfigurationVersion &version,
                                            TimePoint now) const
{
    return std::all_of(subscribers_.begin(), subscribers_.end(), [&](const auto &entry) {
        const Subscriber &subscriber = entry.second;
        const bool isLive = now - subscriber.polledAt < subscriberTimeout;
        return subscriber.isMember || !subscriber.tracksEvacuations || !isLive
            || !(subscriber.evacuations < version);
    });
}

TargetRegistry::Subscriber &TargetRegistry::updateSubscriber(const FeedPoll &poll)
{
    Subscriber &subscriber = subscribers_[poll.subscriber];
    if (subscriber.sessionId != poll.subscriberSessionId) {
        subscriber = Subscriber();
        subscriber.sessionId = poll.subscriberSessionId;
    }
    subscriber.isMember = poll.isMember;
    subscriber.tracksEvacuations = poll.tracksEvacuations;
    subscriber.evacuations = { poll.evacuationEpoch, poll.evacuationNumber };
    subscriber.reportAddress = poll.reportAddress;
    subscriber.polledAt = Clock::now();
    const std::uint64_t acknowledged = poll.isMember ? poll.storedCursor : poll.cursor;
    subscriber.acknowledgedCursor = poll.feedSessionId == sessionId_ ? acknowledged : 0;
    return subscriber;
}

HttpResponse TargetRegistry::handlePoll(const HttpRequest &request, Yield yield)
{
    const auto poll = unpack<FeedPoll>(request.body());
    if (!poll.ok()) {
        return errorResponse(http::status::bad_request, poll.status());
    }
    // Many suspicions arrive at once when targets fail, so they do not wake the waiting polls but
    // go out with the next responses.
    for (const FeedSuspicion &suspicion : poll->suspicions) {
        (void)feed_.addSuspicion(suspicion);
    }
    (void)updateSubscriber(*poll);
    waitForChanges(*poll, poll->feedSessionId == sessionId_ ? poll->cursor : 0, yield);
    FeedResponse response = makeResponse(*poll, subscribers_[poll->subscriber]);
    hooks_.attachNewerVersion(*poll, response, yield);
    return textResponse(http::status::ok, pack(response), "application/msgpack");
}

void TargetRegistry::waitForChanges(const FeedPoll &poll, std::uint64_t known, Yield yield)
{
    const TimePoint start = Clock::now();
    const TimePoint end = start + std::min(Milliseconds(poll.waitMs), maxPollWait);
    while (feed_.cursor() <= known && !hooks_.hasNewerVersion(poll) && Clock::now() < end) {
        Timer timer(context_, end);
        ErrorCode ignored;
        waitingTimers_.insert(&timer);
        timer.async_wait(yield[ignored]);
        waitingTimers_.erase(&timer);
    }
    // Changes come in bursts, as on a release, a new configuration or a power loss; one response
    // carries them together.
    const TimePoint now = Clock::now();
    if (now > start && now + batchDelay < end) {
        pauseFor(context_, batchDelay, yield);
    }
}

FeedResponse TargetRegistry::makeResponse(const FeedPoll &poll, Subscriber &subscriber)
{
    const TimePoint now = Clock::now();
    const std::uint64_t known = poll.feedSessionId == sessionId_ ? poll.cursor : 0;
    FeedResponse response;
    response.feedSessionId = sessionId_;
    response.cursor = feed_.cursor();
    response.items = feed_.itemsAfter(known, now);
    response.suspicions = feed_.suspicionsAfter(known);
    if (poll.isMember) {
        response.renewals = feed_.renewalsSince(subscriber.renewalsSentAt, now);
        subscriber.renewalsSentAt = now;
    }
    response.members = hooks_.members();
    addEntryAddresses(poll, response);
    return response;
}

void TargetRegistry::addEntryAddresses(const FeedPoll &poll, FeedResponse &response) const
{
    const TimePoint now = Clock::now();
    std::string addresses;
    for (const auto &entry : subscribers_) {
        const Subscriber &subscriber = entry.second;
        if (subscriber.isMember || now - subscriber.polledAt >= subscriberTimeout) {
            continue;
        }
        ++response.entryCount;
        if (!subscriber.reportAddress.empty()) {
            response.reportAddresses.push_back(subscriber.reportAddress);
            addresses += subscriber.reportAddress + ' ';
        }
    }
    response.entriesHash = XXH64(addresses.data(), addresses.size(), 1);
    if (poll.isMember || poll.knownEntriesHash == response.entriesHash) {
        response.reportAddresses.clear();
    }
}

void TargetRegistry::merge(const FeedResponse &response)
{
    const TimePoint now = Clock::now();
    bool changed = false;
    for (const FeedItem &item : response.items) {
        changed = feed_.mergeItem(item, now) || changed;
    }
    for (const FeedRenewal &renewal : response.renewals) {
        changed = feed_.renew(renewal, now) || changed;
    }
    for (const FeedSuspicion &suspicion : response.suspicions) {
        (void)feed_.addSuspicion(suspicion);
    }
    if (changed) {
        cache_.tick();
        wakeWaitingPolls();
    }
}

bool TargetRegistry::waitUntilStored(Yield yield)
{
    const std::uint64_t cursor = feed_.departureCursor();
    const TimePoint end = Clock::now() + storeTimeout;
    while (cache_.storedCursor() < cursor && Clock::now() < end) {
        pauseFor(context_, storePollInterval, yield);
    }
    return cache_.storedCursor() >= cursor;
}

void TargetRegistry::tick()
{
    const TimePoint now = Clock::now();
    if (feed_.expire(now)) {
        wakeWaitingPolls();
    }
    cache_.tick();
    for (auto entry = subscribers_.begin(); entry != subscribers_.end();) {
        const bool isExpired = now - entry->second.polledAt > forgetSubscriberAfter;
        entry = isExpired ? subscribers_.erase(entry) : std::next(entry);
    }
}

void TargetRegistry::wakeWaitingPolls()
{
    for (Timer *timer : waitingTimers_) {
        timer->cancel();
    }
}

} // namespace kumquat
