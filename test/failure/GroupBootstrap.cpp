// A group that its initial members bootstrap independently, with two more members that may replace
// a voter.
#include "failure/GroupWorld.h"

#include <absl/strings/str_cat.h>

using namespace kumquat;
using namespace kumquat::test;

namespace {

WorldOptions bootstrapOptions(std::uint64_t seed)
{
    WorldOptions options;
    options.seed = seed;
    options.members = 5;
    options.initialMembers = 3;
    options.maxVoters = 3;
    options.startWindow = Milliseconds(2'000);
    return options;
}

/// Runs until the group has all its voters, for at most 20 seconds of virtual time.
void waitUntilHealthy(GroupWorld &world)
{
    for (int wait = 0; wait < 400 && !world.isHealthy(); ++wait) {
        world.run(Milliseconds(50));
    }
}

void changeThroughAll(GroupWorld &world, int round)
{
    for (int member = 0; member < world.size(); ++member) {
        world.change(absl::StrCat("change-", round), world.highestAccepted(), member);
    }
    world.run(Milliseconds(300));
}

} // namespace

TEST_GROUP(GroupBootstrap) {};

TEST(GroupBootstrap, formsOneGroupInAnyStartOrder)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        GroupWorld world(bootstrapOptions(seed));
        waitUntilHealthy(world);
        world.checkConverged();
        STRCMP_EQUAL("", world.violation().c_str());
        changeThroughAll(world, 1);
        world.run(Seconds(2));
        STRCMP_EQUAL("", world.violation().c_str());
        CHECK_EQUAL(1U, world.highestAccepted());
    }
}

TEST(GroupBootstrap, formsWithOneInitialMemberDown)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        WorldOptions options = bootstrapOptions(seed);
        options.startWindow = Milliseconds(0);
        GroupWorld world(options);
        world.crash(static_cast<int>(seed % 3));
        waitUntilHealthy(world);
        changeThroughAll(world, 1);
        world.run(Seconds(3));
        CHECK_EQUAL(1U, world.highestAccepted());
    }
}

// An initial member that has lost its disk must not bootstrap again; another member replaces it.
TEST(GroupBootstrap, replacesLostDiskWithoutLosingAcceptedChanges)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        GroupWorld world(bootstrapOptions(seed));
        waitUntilHealthy(world);
        for (int round = 0; round < 6 && !world.hasViolation(); ++round) {
            changeThroughAll(world, round);
            world.loseDiskIfHealthy(
                static_cast<int>((seed + static_cast<std::uint64_t>(round)) % 5));
            world.run(Milliseconds(200));
            waitUntilHealthy(world);
        }
        world.healAll();
        world.run(Seconds(10));
        world.checkConverged();
        STRCMP_EQUAL("", world.violation().c_str());
        CHECK(world.acceptedChanges() >= 5);
    }
}

// An unresponsive voter is replaced by a learner, so that the group can then lose another voter.
TEST(GroupBootstrap, replacesUnresponsiveVoter)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        GroupWorld world(bootstrapOptions(seed));
        waitUntilHealthy(world);
        const int first = (world.leader() + 1) % 3;
        world.crash(first);
        world.run(Seconds(6));
        world.crash((first + 1) % 3);
        world.run(Seconds(6));
        changeThroughAll(world, 1);
        world.run(Seconds(3));
        STRCMP_EQUAL("", world.violation().c_str());
        CHECK_EQUAL(1U, world.highestAccepted());
    }
}

TEST(GroupBootstrap, detectsLostDiskKeepingItsIdentity)
{
    bool detected = false;
    for (std::uint64_t seed = 1; seed <= 200 && !detected; ++seed) {
        WorldOptions options = bootstrapOptions(seed);
        options.members = 3;
        options.keepIdentity = true;
        options.lossRate = 0;
        options.startWindow = Milliseconds(0);
        GroupWorld world(options);
        waitUntilHealthy(world);
        const int leader = world.leader();
        const int acknowledger = (leader + 1) % 3;
        const int lagging = (leader + 2) % 3;
        world.isolate(lagging, true);
        world.change("accepted", 0, leader);
        world.run(Milliseconds(200));
        world.isolate(leader, true);
        world.loseDisk(acknowledger);
        world.isolate(lagging, false);
        world.cut(lagging, leader, true);
        world.cut(leader, lagging, true);
        world.run(Seconds(10));
        world.healAll();
        world.run(Seconds(20));
        world.checkConverged();
        detected = world.hasViolation();
    }
    CHECK(detected);
}
