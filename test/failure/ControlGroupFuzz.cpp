// Injects random faults into a control group; the reference model in GroupWorld checks its answers.
#include "failure/GroupWorld.h"

#include <absl/strings/str_cat.h>
#include <cstdlib>

using namespace kumquat;
using namespace kumquat::test;

namespace {

void runStep(GroupWorld &world, Random &random, int step)
{
    const int members = world.size();
    const int chosen = static_cast<int>(randomBelow(random, static_cast<std::size_t>(members)));
    const int other = static_cast<int>(randomBelow(random, static_cast<std::size_t>(members)));
    const int key = static_cast<int>(randomBelow(random, 6));
    const std::uint64_t attempt = 1 + randomBelow(random, 40);
    switch (randomBelow(random, 16)) {
    case 0:
        world.crash(chosen);
        break;
    case 1:
        world.restart(chosen);
        break;
    case 2:
        world.loseDiskIfHealthy(chosen);
        break;
    case 3:
        world.cut(chosen, other, true);
        break;
    case 4:
        world.cut(chosen, other, true);
        world.cut(other, chosen, true);
        break;
    case 5:
        world.healAll();
        break;
    case 6:
        world.freeze(chosen, randomBelow(random, 2) == 0);
        break;
    case 7:
        world.crashAtDiskOperation(chosen, static_cast<int>(randomBelow(random, 4)));
        break;
    case 8:
        world.release(key, 100 * static_cast<std::uint64_t>(key) + attempt, chosen);
        break;
    case 9:
        world.complete(key, 100 * static_cast<std::uint64_t>(key) + attempt, chosen);
        break;
    default:
        break;
    }
    // Concurrent changes with the same base version through different members; some are resent.
    for (int member = 0; member < members; ++member) {
        const int id = step - static_cast<int>(randomBelow(random, 3));
        world.change(absl::StrCat("change-", id, "-", member), world.highestAccepted(), member);
        world.claim(key, 100 * static_cast<std::uint64_t>(key) + 1 + randomBelow(random, 40),
                    member);
        world.readVersion(member);
    }
    world.run(Milliseconds(20 + static_cast<int>(randomBelow(random, 900))));
}

std::string runSeed(WorldOptions options, int steps)
{
    GroupWorld world(options);
    Random random(options.seed * 7'919);
    for (int step = 0; step < steps && !world.hasViolation(); ++step) {
        runStep(world, random, step);
    }
    world.healAll();
    world.run(Seconds(30));
    if (!world.hasViolation()) {
        world.checkConverged();
    }
    return world.violation();
}

// Returns the first violation among the seeds 1 to \p seeds, or an empty string.
std::string firstViolation(WorldOptions options, std::uint64_t seeds, int steps)
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
    const std::string violation = firstViolation(WorldOptions(), seedCount(60), 60);
    STRCMP_EQUAL("", violation.c_str());
}

TEST(ControlGroupFuzz, SafetyHoldsWithFiveMembers)
{
    WorldOptions options;
    options.members = 5;
    const std::string violation = firstViolation(options, seedCount(20), 50);
    STRCMP_EQUAL("", violation.c_str());
}

// With seed 526, a member that joined by a snapshot did not know that it had become a voter.
TEST(ControlGroupFuzz, SafetyHoldsOnFormerlyFailingSeeds)
{
    for (const std::uint64_t seed : { 46, 526 }) {
        WorldOptions options;
        options.seed = seed;
        STRCMP_EQUAL("", runSeed(options, 60).c_str());
    }
}

TEST(ControlGroupFuzz, DetectsIgnoredSyncs)
{
    WorldOptions options;
    options.ignoreSyncs = true;
    CHECK_FALSE(firstViolation(options, 60, 60).empty());
}

// The leader and one follower accept a change; the follower then loses its disk and the leader is
// isolated. The third member lacks the change and must not be elected with the follower's vote.
static std::string loseDiskAfterAcknowledging(bool keepIdentity)
{
    WorldOptions options;
    options.keepIdentity = keepIdentity;
    options.lossRate = 0;
    GroupWorld world(options);
    const int leader = world.leader();
    const int acknowledger = (leader + 1) % 3;
    const int lagging = (leader + 2) % 3;
    world.isolate(lagging, true);
    world.change("accepted", 0, leader);
    world.run(Milliseconds(200));
    CHECK_EQUAL(1U, world.highestAccepted());
    world.isolate(leader, true);
    world.loseDisk(acknowledger);
    world.isolate(lagging, false);
    world.cut(lagging, leader, true);
    world.cut(leader, lagging, true);
    world.run(Seconds(10));
    world.healAll();
    world.run(Seconds(20));
    world.checkConverged();
    return world.violation();
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
        WorldOptions options;
        options.seed = seed;
        GroupWorld world(options);
        for (int round = 0; round < 6 && !world.hasViolation(); ++round) {
            world.change(absl::StrCat("change-", round), world.highestAccepted(), 0);
            world.change(absl::StrCat("change-", round), world.highestAccepted(), 1);
            world.change(absl::StrCat("change-", round), world.highestAccepted(), 2);
            world.run(Milliseconds(300));
            CHECK(world.isHealthy());
            world.loseDiskIfHealthy(round % 3);
            for (int wait = 0; wait < 200 && !world.isHealthy(); ++wait) {
                world.run(Milliseconds(50));
            }
        }
        world.checkConverged();
        STRCMP_EQUAL("", world.violation().c_str());
        CHECK(world.acceptedChanges() >= 5);
    }
}
