// Members whose disk is full: they store and acknowledge nothing, but stay up and take part again
// when there is room.
#include "failure/GroupSimulation.h"

#include <absl/strings/str_cat.h>

using namespace kumquat;
using namespace kumquat::test;

namespace {

void changeThroughAll(GroupSimulation &simulation, int round)
{
    for (int member = 0; member < simulation.size(); ++member) {
        simulation.change(absl::StrCat("change-", round), simulation.highestAccepted(), member);
    }
    simulation.run(Milliseconds(300));
}

} // namespace

TEST_GROUP(GroupDiskFull) {};

TEST(GroupDiskFull, leaderHandsOverAndStaysUp)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GroupSimulationOptions options;
        options.seed = seed;
        GroupSimulation simulation(options);
        const int full = simulation.leader();
        simulation.fillDisk(full, true);
        changeThroughAll(simulation, 1);
        simulation.run(Seconds(4));
        CHECK(simulation.runs(full));
        CHECK(simulation.hasFullDisk(full));
        CHECK(simulation.leader() != full);
        changeThroughAll(simulation, 2);
        CHECK(simulation.acceptedChanges() >= 2);
        simulation.fillDisk(full, false);
        simulation.run(Seconds(10));
        CHECK_FALSE(simulation.hasFullDisk(full));
        simulation.checkConverged();
        STRCMP_EQUAL("", simulation.violation().c_str());
    }
}

TEST(GroupDiskFull, nothingIsAcceptedWhileAMajorityIsFull)
{
    GroupSimulation simulation { GroupSimulationOptions() };
    for (int member = 0; member < simulation.size(); ++member) {
        simulation.fillDisk(member, true);
    }
    changeThroughAll(simulation, 1);
    simulation.run(Seconds(5));
    CHECK_EQUAL(0U, simulation.acceptedChanges());
    for (int member = 0; member < simulation.size(); ++member) {
        CHECK(simulation.runs(member));
        simulation.fillDisk(member, false);
    }
    simulation.run(Seconds(5));
    changeThroughAll(simulation, 2);
    simulation.checkConverged();
    STRCMP_EQUAL("", simulation.violation().c_str());
}

// The failed append leaves part of a record at the end of the log.
TEST(GroupDiskFull, keepsItsStateWhenItRestartsOnAFullDisk)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GroupSimulationOptions options;
        options.seed = seed;
        GroupSimulation simulation(options);
        changeThroughAll(simulation, 1);
        const int full = (simulation.leader() + 1) % simulation.size();
        simulation.fillDisk(full, true);
        changeThroughAll(simulation, 2);
        simulation.crash(full);
        simulation.restart(full);
        CHECK(simulation.runs(full));
        simulation.run(Seconds(2));
        simulation.fillDisk(full, false);
        simulation.run(Seconds(10));
        CHECK_FALSE(simulation.hasFullDisk(full));
        changeThroughAll(simulation, 3);
        simulation.checkConverged();
        STRCMP_EQUAL("", simulation.violation().c_str());
    }
}
