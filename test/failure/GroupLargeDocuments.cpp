// Large documents in quick succession: what members hold stays near the state in force, and a
// member with an empty disk votes again soon.
#include "failure/GroupSimulation.h"

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr std::size_t documentBytes = 245'000; ///< of 1,400 routes
constexpr std::size_t floorBytes = 1024 * 1024;
constexpr std::size_t maxMultiple = 4;
constexpr std::size_t frameBytes = 1024; ///< of records, members and results beside a document

GroupSimulationOptions largeOptions(std::uint64_t seed)
{
    GroupSimulationOptions options;
    options.seed = seed;
    options.initialMembers = 3;
    options.maxVoters = 3;
    options.snapshotEveryEntries = 20'000;
    return options;
}

/// Sends documents until one of the members has accepted \p version, for at most 15 s.
bool sendUntilAccepted(GroupSimulation &simulation, std::uint64_t version, std::size_t bytes)
{
    for (int attempt = 0; attempt < 30 && simulation.highestAcceptedDocument() < version;
         ++attempt) {
        for (int member = 0; member < simulation.size(); ++member) {
            simulation.sendDocument(version, bytes, member);
        }
        for (int wait = 0; wait < 25 && simulation.highestAcceptedDocument() < version; ++wait) {
            simulation.run(Milliseconds(20));
        }
    }
    return simulation.highestAcceptedDocument() >= version;
}

bool isReadBack(GroupSimulation &simulation, std::uint64_t version)
{
    for (int wait = 0; wait < 150 && simulation.highestReadDocument() < version; ++wait) {
        for (int member = 0; member < simulation.size(); ++member) {
            simulation.readDocument(member);
        }
        simulation.run(Milliseconds(100));
    }
    return simulation.highestReadDocument() >= version;
}

std::size_t heldBytes(const GroupNode &node)
{
    return node.raft().log().bytesAfter(0) + node.raft().log().snapshot().data.size();
}

void checkHeldBytes(GroupSimulation &simulation, std::size_t stateBytes)
{
    const std::size_t bound = maxMultiple * (std::max(stateBytes, floorBytes) + frameBytes);
    for (int member = 0; member < simulation.size(); ++member) {
        CHECK_COMPARE(simulation.disk(member).peakBytes(), <=, bound);
        CHECK_COMPARE(heldBytes(*simulation.member(member)), <=, bound);
    }
}

} // namespace

TEST_GROUP(GroupLargeDocuments) {};

TEST(GroupLargeDocuments, logStaysNearTheStateInForce)
{
    GroupSimulation simulation(largeOptions(1));
    for (std::uint64_t version = 1; version <= 150; ++version) {
        CHECK(sendUntilAccepted(simulation, version, documentBytes));
        checkHeldBytes(simulation, documentBytes);
    }
}

TEST(GroupLargeDocuments, logStaysNearAStateOfManyMegabytes)
{
    constexpr std::size_t bytes = 3'000'000;
    GroupSimulation simulation(largeOptions(2));
    for (std::uint64_t version = 1; version <= 30; ++version) {
        CHECK(sendUntilAccepted(simulation, version, bytes));
        simulation.run(Milliseconds(100));
        checkHeldBytes(simulation, bytes);
    }
}

// The replacement of the first lost disk got every document ever sent, and did not vote when the
// second disk was lost 4 s after the first member was back.
TEST(GroupLargeDocuments, groupSurvivesTwoDisksLostInTurn)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        GroupSimulationOptions options = largeOptions(seed);
        options.linkBytesPerSecond = 2'000'000;
        GroupSimulation simulation(options);
        for (std::uint64_t version = 1; version <= 130; ++version) {
            CHECK(sendUntilAccepted(simulation, version, documentBytes));
        }
        const int leader = simulation.leader();
        simulation.loseDisk((leader + 1) % 3);
        simulation.run(Seconds(4));
        simulation.loseDisk(seed % 2 == 0 ? (leader + 2) % 3 : leader);
        simulation.run(Seconds(4));
        CHECK(isReadBack(simulation, 130));
        CHECK(sendUntilAccepted(simulation, 131, documentBytes));
        CHECK(isReadBack(simulation, 131));
        STRCMP_EQUAL("", simulation.violation().c_str());
    }
}
