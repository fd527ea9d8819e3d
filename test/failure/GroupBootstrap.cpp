// A group that its initial members bootstrap independently, with two more members that may replace
// a voter.
#include "failure/GroupSimulation.h"

#include <absl/strings/str_cat.h>

using namespace kumquat;
using namespace kumquat::test;

namespace {

GroupSimulationOptions bootstrapOptions(std::uint64_t seed)
{
    GroupSimulationOptions options;
    options.seed = seed;
    options.members = 5;
    options.initialMembers = 3;
    options.maxVoters = 3;
    options.startWindow = Milliseconds(2'000);
    return options;
}

/// Runs until the group has all its voters, for at most 20 seconds of virtual time.
void waitUntilHealthy(GroupSimulation &simulation)
{
    for (int wait = 0; wait < 400 && !simulation.isHealthy(); ++wait) {
        simulation.run(Milliseconds(50));
    }
}

void changeThroughAll(GroupSimulation &simulation, int round)
{
    for (int member = 0; member < simulation.size(); ++member) {
        simulation.change(absl::StrCat("change-", round), simulation.highestAccepted(), member);
    }
    simulation.run(Milliseconds(300));
}

} // namespace

TEST_GROUP(GroupBootstrap) {};

TEST(GroupBootstrap, formsOneGroupInAnyStartOrder)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        GroupSimulation simulation(bootstrapOptions(seed));
        waitUntilHealthy(simulation);
        simulation.checkConverged();
        STRCMP_EQUAL("", simulation.violation().c_str());
        changeThroughAll(simulation, 1);
        simulation.run(Seconds(2));
        STRCMP_EQUAL("", simulation.violation().c_str());
        CHECK_EQUAL(1U, simulation.highestAccepted());
    }
}

TEST(GroupBootstrap, formsWithOneInitialMemberDown)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        GroupSimulationOptions options = bootstrapOptions(seed);
        options.startWindow = Milliseconds(0);
        GroupSimulation simulation(options);
        simulation.crash(static_cast<int>(seed % 3));
        waitUntilHealthy(simulation);
        changeThroughAll(simulation, 1);
        simulation.run(Seconds(3));
        CHECK_EQUAL(1U, simulation.highestAccepted());
    }
}

// An initial member that has lost its disk must not bootstrap again; another member replaces it.
TEST(GroupBootstrap, replacesLostDiskWithoutLosingAcceptedChanges)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        GroupSimulation simulation(bootstrapOptions(seed));
        waitUntilHealthy(simulation);
        for (int round = 0; round < 6 && !simulation.hasViolation(); ++round) {
            changeThroughAll(simulation, round);
            simulation.loseDiskIfHealthy(
                static_cast<int>((seed + static_cast<std::uint64_t>(round)) % 5));
            simulation.run(Milliseconds(200));
            waitUntilHealthy(simulation);
        }
        simulation.healAll();
        simulation.run(Seconds(10));
        simulation.checkConverged();
        STRCMP_EQUAL("", simulation.violation().c_str());
        CHECK(simulation.acceptedChanges() >= 5);
    }
}

// An unresponsive voter is replaced by a learner, so that the group can then lose another voter.
TEST(GroupBootstrap, replacesUnresponsiveVoter)
{
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        GroupSimulation simulation(bootstrapOptions(seed));
        waitUntilHealthy(simulation);
        const int first = (simulation.leader() + 1) % 3;
        simulation.crash(first);
        simulation.run(Seconds(6));
        simulation.crash((first + 1) % 3);
        simulation.run(Seconds(6));
        changeThroughAll(simulation, 1);
        simulation.run(Seconds(3));
        STRCMP_EQUAL("", simulation.violation().c_str());
        CHECK_EQUAL(1U, simulation.highestAccepted());
    }
}

TEST(GroupBootstrap, detectsLostDiskKeepingItsIdentity)
{
    bool detected = false;
    for (std::uint64_t seed = 1; seed <= 200 && !detected; ++seed) {
        GroupSimulationOptions options = bootstrapOptions(seed);
        options.members = 3;
        options.keepIdentity = true;
        options.lossRate = 0;
        options.startWindow = Milliseconds(0);
        GroupSimulation simulation(options);
        waitUntilHealthy(simulation);
        const int leader = simulation.leader();
        const int acknowledger = (leader + 1) % 3;
        const int lagging = (leader + 2) % 3;
        simulation.isolate(lagging, true);
        simulation.change("accepted", 0, leader);
        simulation.run(Milliseconds(200));
        simulation.isolate(leader, true);
        simulation.loseDisk(acknowledger);
        simulation.isolate(lagging, false);
        simulation.cut(lagging, leader, true);
        simulation.cut(leader, lagging, true);
        simulation.run(Seconds(10));
        simulation.healAll();
        simulation.run(Seconds(20));
        simulation.checkConverged();
        detected = simulation.hasViolation();
    }
    CHECK(detected);
}
