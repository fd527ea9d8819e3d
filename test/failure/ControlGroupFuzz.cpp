// Injects random faults into a control group; the reference model in GroupSimulation checks its
// responses.
#include "failure/GroupSimulation.h"

#include <absl/strings/str_cat.h>
#include <cstdlib>

using namespace kumquat;
using namespace kumquat::test;

namespace {

void runStep(GroupSimulation &simulation, Random &random, int step)
{
    const int members = simulation.size();
    const int chosen = static_cast<int>(randomBelow(random, static_cast<std::size_t>(members)));
    const int other = static_cast<int>(randomBelow(random, static_cast<std::size_t>(members)));
    const int key = static_cast<int>(randomBelow(random, 6));
    const std::uint64_t attempt = 1 + randomBelow(random, 40);
    switch (randomBelow(random, 16)) {
    case 0:
        simulation.crash(chosen);
        break;
    case 1:
        simulation.restart(chosen);
        break;
    case 2:
        simulation.loseDiskIfHealthy(chosen);
        break;
    case 3:
        simulation.cut(chosen, other, true);
        break;
    case 4:
        simulation.cut(chosen, other, true);
        simulation.cut(other, chosen, true);
        break;
    case 5:
        simulation.healAll();
        break;
    case 6:
        simulation.freeze(chosen, randomBelow(random, 2) == 0);
        break;
    case 7:
        simulation.crashAtDiskOperation(chosen, static_cast<int>(randomBelow(random, 4)));
        break;
    case 8:
        simulation.release(key, 100 * static_cast<std::uint64_t>(key) + attempt, chosen);
        break;
    case 9:
        simulation.complete(key, 100 * static_cast<std::uint64_t>(key) + attempt, chosen);
        break;
    default:
        break;
    }
    // Concurrent changes with the same base version through different members; some are resent.
    for (int member = 0; member < members; ++member) {
        const int id = step - static_cast<int>(randomBelow(random, 3));
        simulation.change(absl::StrCat("change-", id, "-", member), simulation.highestAccepted(),
                          member);
        simulation.claim(key, 100 * static_cast<std::uint64_t>(key) + 1 + randomBelow(random, 40),
                         member);
        simulation.readVersion(member);
    }
    simulation.run(Milliseconds(20 + static_cast<int>(randomBelow(random, 900))));
}

// Fills a member's disk in every tenth step or so, and makes room on one in another tenth.
void fillDisks(GroupSimulation &simulation, Random &random)
{
    const int chosen
        = static_cast<int>(randomBelow(random, static_cast<std::size_t>(simulation.size())));
    const std::size_t action = randomBelow(random, 10);
    if (action < 2) {
        simulation.fillDisk(chosen, action == 0);
    }
}

std::string runSeed(GroupSimulationOptions options, int steps)
{
    GroupSimulation simulation(options);
    Random random(options.seed * 7'919);
    // Separate, so that a seed plays the same other faults with and without full disks.
    Random diskRandom(options.seed);
    for (int step = 0; step < steps && !simulation.hasViolation(); ++step) {
        if (options.fillDisks) {
            fillDisks(simulation, diskRandom);
        }
        runStep(simulation, random, step);
    }
    simulation.healAll();
    simulation.run(Seconds(30));
    if (!simulation.hasViolation()) {
        simulation.checkConverged();
    }
    return simulation.violation();
}

// Returns the first violation among the seeds 1 to \p seeds, or an empty string.
std::string firstViolation(GroupSimulationOptions options, std::uint64_t seeds, int steps)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        const std::string violation = runSeed(options, steps);
        if (!violation.empty()) {
            return violation;
        }
    }
    return "";
}

} // namespace

namespace {

// For runs of hours on idle machines: KUMQUAT_FUZZ_FACTOR=50 runs fifty times as many seeds.
std::uint64_t seedCount(std::uint64_t defaultCount)
{
    const char *factor = std::getenv("KUMQUAT_FUZZ_FACTOR");
    return factor == nullptr ? defaultCount : defaultCount * std::strtoull(factor, nullptr, 10);
}

} // namespace

TEST_GROUP(ControlGroupFuzz) {};

TEST(ControlGroupFuzz, SafetyHoldsWithThreeMembers)
{
    const std::string violation = firstViolation(GroupSimulationOptions(), seedCount(60), 60);
    STRCMP_EQUAL("", violation.c_str());
}

TEST(ControlGroupFuzz, SafetyHoldsWithFiveMembers)
{
    GroupSimulationOptions options;
    options.members = 5;
    const std::string violation = firstViolation(options, seedCount(20), 50);
    STRCMP_EQUAL("", violation.c_str());
}

// With seed 526, a member that joined by a snapshot did not know that it had become a voter.
TEST(ControlGroupFuzz, SafetyHoldsOnFormerlyFailingSeeds)
{
    for (const std::uint64_t seed : { 46, 526 }) {
        GroupSimulationOptions options;
        options.seed = seed;
        STRCMP_EQUAL("", runSeed(options, 60).c_str());
    }
}

TEST(ControlGroupFuzz, SafetyHoldsWithFullDisks)
{
    GroupSimulationOptions options;
    options.fillDisks = true;
    const std::string violation = firstViolation(options, seedCount(60), 60);
    STRCMP_EQUAL("", violation.c_str());
}

// Logs are compacted after a few commands, and snapshots cross the links in many parts.
static GroupSimulationOptions largeCommandOptions()
{
    GroupSimulationOptions options;
    options.changeBytes = 3'000;
    options.minCompactedBytes = 6'000;
    options.maxSnapshotPartBytes = 1'000;
    options.fillDisks = true;
    return options;
}

TEST(ControlGroupFuzz, SafetyHoldsWithLargeCommands)
{
    const std::string violation = firstViolation(largeCommandOptions(), seedCount(60), 60);
    STRCMP_EQUAL("", violation.c_str());
}

TEST(ControlGroupFuzz, SafetyHoldsWithLargeCommandsAndFiveMembers)
{
    GroupSimulationOptions options = largeCommandOptions();
    options.members = 5;
    const std::string violation = firstViolation(options, seedCount(20), 50);
    STRCMP_EQUAL("", violation.c_str());
}

TEST(ControlGroupFuzz, DetectsIgnoredSyncs)
{
    GroupSimulationOptions options;
    options.ignoreSyncs = true;
    CHECK_FALSE(firstViolation(options, 60, 60).empty());
}

// The leader and one follower accept a change; the follower then loses its disk and the leader is
// isolated. The third member lacks the change and must not be elected with the follower's vote.
static std::string loseDiskAfterAcknowledging(bool keepIdentity)
{
    GroupSimulationOptions options;
    options.keepIdentity = keepIdentity;
    options.lossRate = 0;
    GroupSimulation simulation(options);
    const int leader = simulation.leader();
    const int acknowledger = (leader + 1) % 3;
    const int lagging = (leader + 2) % 3;
    simulation.isolate(lagging, true);
    simulation.change("accepted", 0, leader);
    simulation.run(Milliseconds(200));
    CHECK_EQUAL(1U, simulation.highestAccepted());
    simulation.isolate(leader, true);
    simulation.loseDisk(acknowledger);
    simulation.isolate(lagging, false);
    simulation.cut(lagging, leader, true);
    simulation.cut(leader, lagging, true);
    simulation.run(Seconds(10));
    simulation.healAll();
    simulation.run(Seconds(20));
    simulation.checkConverged();
    return simulation.violation();
}

TEST(ControlGroupFuzz, LostDiskDoesNotRevokeItsVote)
{
    STRCMP_EQUAL("", loseDiskAfterAcknowledging(false).c_str());
}

TEST(ControlGroupFuzz, DetectsLostDiskKeepingItsIdentity)
{
    CHECK_FALSE(loseDiskAfterAcknowledging(true).empty());
}

TEST(ControlGroupFuzz, RecoversFromLostDisksInSuccession)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GroupSimulationOptions options;
        options.seed = seed;
        GroupSimulation simulation(options);
        for (int round = 0; round < 6 && !simulation.hasViolation(); ++round) {
            simulation.change(absl::StrCat("change-", round), simulation.highestAccepted(), 0);
            simulation.change(absl::StrCat("change-", round), simulation.highestAccepted(), 1);
            simulation.change(absl::StrCat("change-", round), simulation.highestAccepted(), 2);
            simulation.run(Milliseconds(300));
            CHECK(simulation.isHealthy());
            simulation.loseDiskIfHealthy(round % 3);
            for (int wait = 0; wait < 200 && !simulation.isHealthy(); ++wait) {
                simulation.run(Milliseconds(50));
            }
        }
        simulation.checkConverged();
        STRCMP_EQUAL("", simulation.violation().c_str());
        CHECK(simulation.acceptedChanges() >= 5);
    }
}
