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

/// Documents as large as one with some thousand routes, in a storm.
constexpr std::size_t documentBytes = 120'000;
constexpr Milliseconds stormGap { 330 };
/// A change must be confirmed within this time once no disk is full.
constexpr Milliseconds confirmationBound { 4'000 };

void sendThroughAll(GroupSimulation &simulation, std::uint64_t version)
{
    for (int member = 0; member < simulation.size(); ++member) {
        simulation.sendDocument(version, documentBytes, member);
    }
}

/// Sends documents for \p duration; returns the last version.
std::uint64_t storm(GroupSimulation &simulation, Milliseconds duration, std::uint64_t version)
{
    for (Milliseconds passed { 0 }; passed < duration; passed += stormGap) {
        sendThroughAll(simulation, ++version);
        simulation.run(stormGap);
    }
    return version;
}

/// Sends one document again and again, as an operator does, until it is confirmed or too late.
bool isConfirmedInTime(GroupSimulation &simulation, std::uint64_t version)
{
    for (Milliseconds passed { 0 }; passed < confirmationBound; passed += stormGap) {
        sendThroughAll(simulation, version);
        simulation.run(stormGap);
        if (simulation.highestAcceptedDocument() >= version) {
            return true;
        }
    }
    return false;
}

GroupSimulationOptions stormOptions(std::uint64_t seed, int members)
{
    GroupSimulationOptions options;
    options.seed = seed;
    options.members = members;
    options.initialMembers = members;
    options.maxVoters = members;
    options.linkBytesPerSecond = 10'000'000;
    return options;
}

} // namespace

TEST_GROUP(GroupDiskFull) {};

// Guards against a group that confirms nothing any more after its disks were full in turn, never
// two at once, while documents came in quick succession.
TEST(GroupDiskFull, changesAreConfirmedAgainAfterEachDiskWasFullInTurn)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const int members = seed % 2 == 0 ? 3 : 5;
        GroupSimulation simulation(stormOptions(seed, members));
        simulation.run(Seconds(5));
        Random random(seed);
        std::uint64_t version = storm(simulation, Seconds(3), 0);
        for (int turn = 0; turn < 2 * members; ++turn) {
            const bool isLeader = randomBelow(random, 2) == 0 && simulation.leader() >= 0;
            const int full = isLeader ? simulation.leader() : turn % members;
            simulation.fillDisk(full, true);
            version = storm(simulation, Seconds(1 + randomBelow(random, 4)), version);
            simulation.fillDisk(full, false);
            version = storm(simulation, Milliseconds(randomBelow(random, 1'000)), version);
        }
        const std::string run = absl::StrCat("seed ", seed);
        CHECK_TEXT(isConfirmedInTime(simulation, ++version), run.c_str());
        simulation.run(Seconds(10));
        simulation.checkConverged();
        STRCMP_EQUAL_TEXT("", simulation.violation().c_str(), run.c_str());
    }
}

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
