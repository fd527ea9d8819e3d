#include "coordination/control/TargetRegistry.h"

#include "common/JsonReader.h"
#include "common/Random.h"
#include "kumquat/Event.h"
#include "protocol/Codec.h"
#include "protocol/Wire.h"
#include "transport/Spawn.h"

#include <xxhash.h>

namespace kumquat {

namespace {

/// A target is silent after this many heartbeats have not come.
constexpr int heartbeatsPerLease = 4;
/// A target gives up on an acknowledgement after a second.
constexpr Milliseconds majorityTime { 850 };
/// Entries that do not answer are waited for this long; the drain's own bound covers the rest.
constexpr Milliseconds entryTime { 500 };
/// A follower that has not polled for this long is not waited for.
constexpr Milliseconds followerLife { 2'000 };
constexpr Milliseconds forgetFollowerAfter { 30'000 };
constexpr Milliseconds acknowledgementCheck { 5 };
constexpr Milliseconds longestWait { 5'000 };
/// What is new is told after this, with what has become new meanwhile.
constexpr Milliseconds gatherTime { 15 };

HttpResponse errorAnswer(http::status status, const absl::Status &error)
{
    Json::Value body;
    body["error"] = std::string(error.message());
    return textResponse(status, writeJson(body) + "\n");
}

} // namespace

TargetRegistry::TargetRegistry(asio::io_context &context, TargetRegistryOptions options,
                               const Dialect &dialect, TargetRegistryHooks hooks)
    : context_(context), options_(std::move(options)), dialect_(dialect), hooks_(std::move(hooks)),
      feed_(options_.heartbeat * heartbeatsPerLease), life_(randomSeed())
{
}

HttpResponse TargetRegistry::announce(const HttpRequest &request, Yield yield)
{
    const std::string path(request.target());
    const std::string name = path.substr(sizeof(wire::targetsPath) - 1);
    const bool leaves = request.method() == http::verb::delete_;
    const auto record = leaves ? dialect_.parseDeparture(name, request.body())
                               : dialect_.parseAnnouncement(name, request.body());
    if (!record.ok()) {
        logEvent(Event::announcementRejected, LogLevel::warning, "target={} {}", name,
                 std::string(record.status().message()));
        return errorAnswer(http::status::bad_request, record.status());
    }
    TargetRecord said = *record;
    const TargetRecord *present = feed_.find(said.name);
    if (present != nullptr && leaves) {
        said = *present;
        said.state = TargetState::gone;
        said.incarnation = record->incarnation == 0 ? present->incarnation : record->incarnation;
    }
    return takeRecord(said, yield);
}

HttpResponse TargetRegistry::takeRecord(const TargetRecord &record, Yield yield)
{
    const bool leaving = record.state >= TargetState::draining;
    if (feed_.take(record, Clock::now())) {
        logEvent(leaving ? Event::targetDraining : Event::targetAnnounced, LogLevel::info,
                 "target={} service={} state={} incarnation={} version={}", record.name,
                 record.service, targetStateName(record.state), record.incarnation, record.version);
        wake();
    }
    if (leaving && !waitUntilKnown(feed_.cursor(), yield)) {
        logEvent(Event::departureNotConfirmed, LogLevel::warning, "target={} incarnation={}",
                 record.name, record.incarnation);
        return errorAnswer(http::status::service_unavailable,
                           makeError(ErrorKind::unavailable, "the group does not know it yet",
                                     "send it to another member"));
    }
    return textResponse(http::status::ok, "{}");
}

// Every entry in touch follows each member that belongs to a majority, so what a majority knows
// reaches it; waiting for the entries themselves makes that quick.
bool TargetRegistry::waitUntilKnown(std::uint64_t cursor, Yield yield)
{
    const TimePoint start = Clock::now();
    bool majority = majorityKnows(cursor);
    while (Clock::now() - start < majorityTime) {
        const bool entries = entriesKnow(cursor, Clock::now()) || Clock::now() - start > entryTime;
        if (majority && entries) {
            return true;
        }
        pauseFor(context_, acknowledgementCheck, yield);
        majority = majorityKnows(cursor);
    }
    return majority;
}

bool TargetRegistry::majorityKnows(std::uint64_t cursor) const
{
    std::size_t voters = 0;
    std::size_t knowing = 0;
    for (const FeedMember &member : hooks_.members()) {
        if (!member.voter) {
            continue;
        }
        ++voters;
        const auto follower = followers_.find(member.name);
        const bool knows = member.name == options_.name
            || (follower != followers_.end() && follower->second.acknowledged >= cursor);
        knowing += knows ? 1 : 0;
    }
    return voters > 0 && knowing > voters / 2;
}

bool TargetRegistry::entriesKnow(std::uint64_t cursor, TimePoint now) const
{
    for (const auto &entry : followers_) {
        const Follower &follower = entry.second;
        const bool live = now - follower.heardAt < followerLife;
        if (!follower.member && live && follower.acknowledged < cursor) {
            return false;
        }
    }
    return true;
}

TargetRegistry::Follower &TargetRegistry::noteFollower(const FeedPoll &poll)
{
    Follower &follower = followers_[poll.subscriber];
    if (follower.life != poll.subscriberLife) {
        follower = Follower();
        follower.life = poll.subscriberLife;
    }
    follower.member = poll.member;
    follower.reportAddress = poll.reportAddress;
    follower.heardAt = Clock::now();
    follower.acknowledged = poll.feedLife == life_ ? poll.cursor : 0;
    return follower;
}

HttpResponse TargetRegistry::poll(const HttpRequest &request, Yield yield)
{
    const auto poll = unpack<FeedPoll>(request.body());
    if (!poll.ok()) {
        return errorAnswer(http::status::bad_request, poll.status());
    }
    // Suspicions come in numbers when targets fail; they travel with the next answers.
    for (const FeedSuspicion &suspicion : poll->suspicions) {
        (void)feed_.suspect(suspicion);
    }
    const std::uint64_t known = noteFollower(*poll).acknowledged;
    waitForNews(*poll, known, yield);
    FeedAnswer answer = answerTo(*poll, followers_[poll->subscriber]);
    hooks_.nameConfiguration(*poll, answer, yield);
    return textResponse(http::status::ok, pack(answer), "application/msgpack");
}

void TargetRegistry::waitForNews(const FeedPoll &poll, std::uint64_t known, Yield yield)
{
    const TimePoint start = Clock::now();
    const TimePoint end = start + std::min(Milliseconds(poll.waitMs), longestWait);
    while (feed_.cursor() <= known && !hooks_.hasNewerConfiguration(poll) && Clock::now() < end) {
        Timer timer(context_, end);
        ErrorCode ignored;
        waiting_.insert(&timer);
        timer.async_wait(yield[ignored]);
        waiting_.erase(&timer);
    }
    // Changes come together: a release, a configuration, a loss of power. One answer carries them.
    const TimePoint now = Clock::now();
    if (now > start && now + gatherTime < end) {
        pauseFor(context_, gatherTime, yield);
    }
}

FeedAnswer TargetRegistry::answerTo(const FeedPoll &poll, Follower &follower)
{
    const TimePoint now = Clock::now();
    const std::uint64_t known = poll.feedLife == life_ ? poll.cursor : 0;
    FeedAnswer answer;
    answer.feedLife = life_;
    answer.cursor = feed_.cursor();
    answer.items = feed_.itemsAfter(known);
    answer.suspicions = feed_.suspicionsAfter(known);
    if (poll.member) {
        answer.renewals = feed_.renewalsSince(follower.renewedAt);
        follower.renewedAt = now;
    }
    answer.members = hooks_.members();
    nameEntries(poll, answer);
    return answer;
}

void TargetRegistry::nameEntries(const FeedPoll &poll, FeedAnswer &answer) const
{
    const TimePoint now = Clock::now();
    std::string all;
    for (const auto &entry : followers_) {
        const Follower &follower = entry.second;
        if (follower.member || now - follower.heardAt >= followerLife) {
            continue;
        }
        ++answer.entries;
        if (!follower.reportAddress.empty()) {
            answer.reportAddresses.push_back(follower.reportAddress);
            all += follower.reportAddress + ' ';
        }
    }
    answer.entriesHash = XXH64(all.data(), all.size(), 1);
    if (poll.member || poll.entriesKnown == answer.entriesHash) {
        answer.reportAddresses.clear();
    }
}

void TargetRegistry::take(const FeedAnswer &answer)
{
    const TimePoint now = Clock::now();
    bool news = false;
    for (const FeedItem &item : answer.items) {
        news = feed_.take(item.record, now) || news;
    }
    for (const FeedRenewal &renewal : answer.renewals) {
        feed_.renew(renewal, now);
    }
    for (const FeedSuspicion &suspicion : answer.suspicions) {
        (void)feed_.suspect(suspicion);
    }
    if (news) {
        wake();
    }
}

void TargetRegistry::tick()
{
    const TimePoint now = Clock::now();
    if (feed_.expire(now)) {
        wake();
    }
    for (auto entry = followers_.begin(); entry != followers_.end();) {
        const bool old = now - entry->second.heardAt > forgetFollowerAfter;
        entry = old ? followers_.erase(entry) : std::next(entry);
    }
}

void TargetRegistry::wake()
{
    for (Timer *timer : waiting_) {
        timer->cancel();
    }
}

std::string TargetRegistry::saveHints() const
{
    return pack(feed_.itemsAfter(0));
}

void TargetRegistry::takeHints(const std::string &bytes)
{
    const auto items = unpack<std::vector<FeedItem>>(bytes);
    if (!items.ok()) {
        logEvent(Event::hintFileFailed, LogLevel::warning, "{}",
                 std::string(items.status().message()));
        return;
    }
    const TimePoint now = Clock::now();
    for (const FeedItem &item : *items) {
        (void)feed_.take(item.record, now);
    }
}

} // namespace kumquat
