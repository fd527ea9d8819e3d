// A member's copy of the departures on disk: what counts as stored survives a crash, and departures
// that gather are written together.
#include "coordination/control/TargetCache.h"
#include "failure/GroupSimulation.h"

#include <absl/strings/str_cat.h>
#include <deque>

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr Milliseconds lease { 6'000 };
constexpr Milliseconds heartbeat { 1'500 };

TargetRecord record(const std::string &name, TargetState state, std::uint64_t incarnation = 5,
                    std::uint64_t version = 1)
{
    TargetRecord result;
    result.name = name;
    result.service = "s";
    result.ip = "10.0.0.1";
    result.port = static_cast<std::uint16_t>(1'000 + std::hash<std::string>()(name) % 50'000);
    result.incarnation = incarnation;
    result.version = version;
    result.state = state;
    return result;
}

/// One member's feed and cache on a disk that may crash; writes run only in runWrites().
struct CachedFeed
{
    explicit CachedFeed(FaultyDisk &faultyDisk, VirtualClock &virtualClock)
        : clock(virtualClock), feed(lease),
          cache(
              faultyDisk.hooks(), feed,
              { [this](std::function<absl::Status()> work, std::function<void(absl::Status)> done) {
                   writes.push_back(
                       [work = std::move(work), done = std::move(done)] { done(work()); });
               },
                [this] { return clock.now; } })
    {
        cache.load();
    }

    void announce(const TargetRecord &announced) { (void)feed.merge(announced, clock.now); }

    void depart(const std::string &name)
    {
        announce(record(name, TargetState::gone));
        cache.flush();
    }

    bool isStored(const std::string &name) const
    {
        return cache.storedCursor() >= feed.cursorOf(name);
    }

    void runWrites()
    {
        while (!writes.empty()) {
            const auto write = std::move(writes.front());
            writes.pop_front();
            write();
        }
    }

    bool isUsable(const std::string &name)
    {
        (void)feed.expire(clock.now);
        for (const FeedItem &item : feed.itemsAfter(0, clock.now)) {
            if (item.record.name == name) {
                return item.record.state == TargetState::ready && !item.leaseExpired;
            }
        }
        return false;
    }

    VirtualClock &clock;
    TargetFeed feed;
    std::deque<std::function<void()>> writes;
    TargetCache cache;
};

} // namespace

TEST_GROUP(DeparturesStored)
{
    FaultyDisk disk;
    VirtualClock clock;
    Random random { 1 };
};

TEST(DeparturesStored, aDepartureCountsAsStoredOnlyOnceItIsOnDisk)
{
    CachedFeed member(disk, clock);
    member.depart("a");
    CHECK_FALSE(member.isStored("a"));
    member.runWrites();
    CHECK_TRUE(member.isStored("a"));
}

TEST(DeparturesStored, whatCountsAsStoredSurvivesACrashAtAnyDiskOperation)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        FaultyDisk ownDisk;
        Random ownRandom(seed);
        std::vector<std::string> stored;
        {
            CachedFeed member(ownDisk, clock);
            ownDisk.failAfter(static_cast<int>(randomBelow(ownRandom, 12)));
            for (int i = 0; i < 8; ++i) {
                const std::string name = absl::StrCat("t", i);
                member.announce(record(name, TargetState::ready));
                member.cache.tick();
                member.depart(name);
                member.runWrites();
                if (member.isStored(name)) {
                    stored.push_back(name);
                }
            }
        }
        ownDisk.crash(ownRandom);
        CachedFeed restarted(ownDisk, clock);
        for (const std::string &name : stored) {
            const TargetRecord *found = restarted.feed.find(name);
            CHECK_TEXT(found != nullptr && found->state == TargetState::gone,
                       absl::StrCat("seed ", seed, " ", name).c_str());
        }
    }
}

TEST(DeparturesStored, departuresThatGatherDuringAWriteShareTheNextOne)
{
    CachedFeed member(disk, clock);
    for (int i = 0; i < 50; ++i) {
        member.depart(absl::StrCat("t", i));
    }
    member.runWrites();
    LONGS_EQUAL(2, member.cache.syncs());
    LONGS_EQUAL(member.feed.cursor(), member.cache.storedCursor());
}

TEST(DeparturesStored, aFullDiskStoresNothingUntilItTakesWritesAgain)
{
    CachedFeed member(disk, clock);
    member.depart("a");
    member.runWrites();
    disk.setFull(true);
    member.depart("b");
    member.runWrites();
    CHECK_FALSE(member.isStored("b"));
    disk.setFull(false);
    clock.advance(Milliseconds(1'000));
    member.cache.tick();
    member.runWrites();
    CHECK_TRUE(member.isStored("b"));
    disk.crash(random);
    CachedFeed restarted(disk, clock);
    CHECK_TRUE(restarted.feed.find("a")->state == TargetState::gone);
    CHECK_TRUE(restarted.feed.find("b")->state == TargetState::gone);
}

TEST(DeparturesStored, aRestoredTargetIsAsOldAsItWasWhenItWasWritten)
{
    {
        CachedFeed member(disk, clock);
        member.announce(record("silent", TargetState::ready));
        clock.advance(lease - heartbeat);
        member.announce(record("other", TargetState::ready));
        member.cache.flush();
        member.runWrites();
    }
    CachedFeed restarted(disk, clock);
    CHECK_TRUE(restarted.isUsable("silent"));
    clock.advance(heartbeat + Milliseconds(1));
    CHECK_FALSE(restarted.isUsable("silent"));
    CHECK_TRUE(restarted.isUsable("other"));
}

TEST(DeparturesStored, anExpiredLeaseStaysExpiredOverARestart)
{
    {
        CachedFeed member(disk, clock);
        member.announce(record("silent", TargetState::ready));
        clock.advance(lease + Milliseconds(1));
        (void)member.feed.expire(clock.now);
        member.cache.flush();
        member.runWrites();
    }
    CachedFeed restarted(disk, clock);
    CHECK_FALSE(restarted.isUsable("silent"));
}

TEST(DeparturesStored, aLaterIncarnationEndsARestoredDeparture)
{
    {
        CachedFeed member(disk, clock);
        member.depart("a");
        member.runWrites();
    }
    CachedFeed restarted(disk, clock);
    restarted.announce(record("a", TargetState::ready, 5, 99));
    CHECK_FALSE(restarted.isUsable("a"));
    restarted.announce(record("a", TargetState::ready, 6));
    CHECK_TRUE(restarted.isUsable("a"));
}

TEST(DeparturesStored, theFileStaysSmallHoweverManyTargetsComeAndGo)
{
    CachedFeed member(disk, clock);
    for (int i = 0; i < 20'000; ++i) {
        const std::string name = absl::StrCat("t", i);
        member.announce(record(name, TargetState::ready));
        member.depart(name);
        if (i % 10 == 0) {
            clock.advance(Milliseconds(1'000));
            (void)member.feed.expire(clock.now);
            member.runWrites();
        }
    }
    member.runWrites();
    constexpr std::size_t maxFileBytes = 3 * 1024 * 1024;
    CHECK(disk.hooks().read("targets.log")->size() < maxFileBytes);
}
