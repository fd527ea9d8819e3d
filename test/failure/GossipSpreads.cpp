// News reaches every entry in time although datagrams are lost and entries end.
#include "failure/GossipSimulation.h"

#include <absl/strings/str_cat.h>

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr Milliseconds drainBound { 3'000 };
constexpr Milliseconds settle { 4'000 };

// A target drains as the brief allows at worst: half of all datagrams are lost, and the entry
// that heard it ends at once. The target tells the next entry unless the first confirmed.
bool drainHolds(std::uint64_t seed)
{
    GossipWorld world(6, seed);
    world.run(settle);
    world.announce(0, targetRecord("a", 1, TargetState::ready));
    world.run(settle);
    world.setLoss(0.5);
    world.run(settle);
    const TimePoint start = world.now();
    for (std::size_t entry = 1; entry < world.size(); ++entry) {
        const bool confirmed = world.announce(entry, targetRecord("a", 1, TargetState::draining));
        if (entry == 1) {
            world.entry(1).alive = false;
        }
        if (confirmed) {
            break;
        }
    }
    world.run(drainBound - std::chrono::duration_cast<Milliseconds>(world.now() - start));
    return world.knowing("a", TargetState::draining) == world.alive();
}

} // namespace

TEST_GROUP(GossipSpreads) {};

TEST(GossipSpreads, ADrainStopsNewWorkEverywhereWithHalfTheDatagramsLost)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CHECK_TEXT(drainHolds(seed), absl::StrCat("seed ", seed).c_str());
    }
}

TEST(GossipSpreads, DigestsRepairWhatAnEntryMissed)
{
    GossipWorld world(6, 1);
    world.run(settle);
    world.setLoss(1);
    for (int i = 0; i < 200; ++i) {
        world.entry(0).targets.merge(targetRecord(absl::StrCat("t", i), 1, TargetState::ready),
                                        world.now());
    }
    world.run(Seconds(1));
    world.setLoss(0.1);
    world.run(Seconds(60));
    for (std::size_t i = 0; i < world.size(); ++i) {
        LONGS_EQUAL(200, world.entry(i).targets.size());
    }
}

TEST(GossipSpreads, StaysWithinItsBudgetWhateverHappens)
{
    constexpr double bytesPerSecond = 8'000;
    GossipWorld world(6, 1, bytesPerSecond);
    world.run(settle);
    const std::uint64_t before = world.entry(0).sentBytes;
    constexpr int seconds = 20;
    for (int second = 0; second < seconds; ++second) {
        for (int i = 0; i < 50; ++i) {
            const TargetRecord record
                = targetRecord(absl::StrCat("t", second, "-", i), 1, TargetState::ready);
            world.entry(0).targets.merge(record, world.now());
            world.entry(0).gossip->spread(record, world.now(), nullptr);
        }
        world.run(Seconds(1));
    }
    const auto sent = static_cast<double>(world.entry(0).sentBytes - before);
    CHECK(sent <= bytesPerSecond * (seconds + 3));
}

TEST(GossipSpreads, ASuspicionReachesEveryEntry)
{
    GossipWorld world(6, 3);
    world.run(settle);
    world.setLoss(0.3);
    world.entry(2).gossip->spreadSuspicion({ 42, "a" });
    world.run(Seconds(3));
    for (std::size_t i = 0; i < world.size(); ++i) {
        LONGS_EQUAL(i == 2 ? 0 : 1, world.entry(i).suspicions.size());
    }
}

TEST(GossipSpreads, AnEntryThatEndsGivesItsTargetsToOthers)
{
    GossipWorld world(6, 5);
    world.run(settle);
    std::size_t judges = 0;
    for (std::size_t i = 0; i < world.size(); ++i) {
        judges += world.entry(i).gossip->isResponsibleFor("a") ? 1 : 0;
    }
    LONGS_EQUAL(1, judges);
    for (std::size_t i = 0; i < world.size(); ++i) {
        world.entry(i).alive = !world.entry(i).gossip->isResponsibleFor("a");
    }
    world.run(Seconds(8));
    judges = 0;
    for (std::size_t i = 0; i < world.size(); ++i) {
        judges += world.entry(i).alive && world.entry(i).gossip->isResponsibleFor("a") ? 1 : 0;
    }
    LONGS_EQUAL(1, judges);
}
