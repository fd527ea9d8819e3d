// Changes reach every entry in time although datagrams are lost and entries end.
#include "failure/GossipSimulation.h"

#include <absl/strings/str_cat.h>

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr Milliseconds drainBound { 3'000 };
constexpr Milliseconds settleTime { 4'000 };

// The worst case that a drain must survive: half of all datagrams are lost, and the first entry
// that received the drain ends at once. The target announces it to the next entry until one
// confirms that a peer has it. All live entries must then know it within `drainBound`.
bool drainReachesAll(std::uint64_t seed)
{
    GossipSimulation simulation(6, seed);
    simulation.run(settleTime);
    simulation.announce(0, targetRecord("a", 1, TargetState::ready));
    simulation.run(settleTime);
    simulation.setLoss(0.5);
    simulation.run(settleTime);
    const TimePoint start = simulation.now();
    for (std::size_t entry = 1; entry < simulation.size(); ++entry) {
        const bool confirmed
            = simulation.announce(entry, targetRecord("a", 1, TargetState::draining));
        if (entry == 1) {
            simulation.entry(1).alive = false;
        }
        if (confirmed) {
            break;
        }
    }
    simulation.run(drainBound - std::chrono::duration_cast<Milliseconds>(simulation.now() - start));
    return simulation.liveEntriesKnowing("a", TargetState::draining) == simulation.liveEntries();
}

} // namespace

TEST_GROUP(GossipSpreads) {};

TEST(GossipSpreads, ADrainReachesEveryEntryWithHalfTheDatagramsLost)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        CHECK_TEXT(drainReachesAll(seed), absl::StrCat("seed ", seed).c_str());
    }
}

TEST(GossipSpreads, DigestsRepairWhatAnEntryMissed)
{
    GossipSimulation simulation(6, 1);
    simulation.run(settleTime);
    simulation.setLoss(1);
    for (int i = 0; i < 200; ++i) {
        simulation.entry(0).targets.merge(targetRecord(absl::StrCat("t", i), 1, TargetState::ready),
                                          simulation.now());
    }
    simulation.run(Seconds(1));
    simulation.setLoss(0.1);
    simulation.run(Seconds(60));
    for (std::size_t i = 0; i < simulation.size(); ++i) {
        LONGS_EQUAL(200, simulation.entry(i).targets.size());
    }
}

TEST(GossipSpreads, StaysWithinItsByteBudgetUnderManyChanges)
{
    constexpr double bytesPerSecond = 8'000;
    GossipSimulation simulation(6, 1, bytesPerSecond);
    simulation.run(settleTime);
    const std::uint64_t before = simulation.entry(0).sentBytes;
    constexpr int seconds = 20;
    for (int second = 0; second < seconds; ++second) {
        for (int i = 0; i < 50; ++i) {
            const TargetRecord record
                = targetRecord(absl::StrCat("t", second, "-", i), 1, TargetState::ready);
            simulation.entry(0).targets.merge(record, simulation.now());
            simulation.entry(0).gossip->propagate(record, simulation.now(), nullptr);
        }
        simulation.run(Seconds(1));
    }
    const auto sent = static_cast<double>(simulation.entry(0).sentBytes - before);
    CHECK(sent <= bytesPerSecond * (seconds + 3));
}

TEST(GossipSpreads, ASuspicionReachesEveryEntry)
{
    GossipSimulation simulation(6, 3);
    simulation.run(settleTime);
    simulation.setLoss(0.3);
    simulation.entry(2).gossip->propagateSuspicion({ 42, "a" });
    simulation.run(Seconds(3));
    for (std::size_t i = 0; i < simulation.size(); ++i) {
        LONGS_EQUAL(i == 2 ? 0 : 1, simulation.entry(i).suspicions.size());
    }
}

TEST(GossipSpreads, AnotherEntryBecomesResponsibleAfterOneEnds)
{
    GossipSimulation simulation(6, 5);
    simulation.run(settleTime);
    std::size_t responsible = 0;
    for (std::size_t i = 0; i < simulation.size(); ++i) {
        responsible += simulation.entry(i).gossip->isResponsibleFor("a") ? 1 : 0;
    }
    LONGS_EQUAL(1, responsible);
    for (std::size_t i = 0; i < simulation.size(); ++i) {
        simulation.entry(i).alive = !simulation.entry(i).gossip->isResponsibleFor("a");
    }
    simulation.run(Seconds(8));
    responsible = 0;
    for (std::size_t i = 0; i < simulation.size(); ++i) {
        responsible
            += simulation.entry(i).alive && simulation.entry(i).gossip->isResponsibleFor("a") ? 1
                                                                                              : 0;
    }
    LONGS_EQUAL(1, responsible);
}
