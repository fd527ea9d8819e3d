// Members that lose their disks one after another, as many at once as the group tolerates, while
// large documents are sent over slow links.
#include "failure/GroupSimulation.h"

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr std::size_t documentBytes = 245'000;

GroupSimulationOptions slowLinks(std::uint64_t seed, int voters)
{
    GroupSimulationOptions options;
    options.seed = seed;
    options.members = voters;
    options.initialMembers = voters;
    options.maxVoters = voters;
    options.snapshotEveryEntries = 20'000;
    options.linkBytesPerSecond = 2'000'000;
    return options;
}

/// Sends documents, to whichever member leads, for \p duration.
void sendDocuments(GroupSimulation &simulation, std::uint64_t &version, Milliseconds duration)
{
    constexpr Milliseconds interval { 1'000 };
    for (Milliseconds passed { 0 }; passed < duration; passed += interval) {
        ++version;
        for (int member = 0; member < simulation.size(); ++member) {
            simulation.sendDocument(version, documentBytes, member);
        }
        simulation.run(interval);
    }
}

void checkLostDisks(int voters, int lostAtOnce)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        GroupSimulation simulation(slowLinks(seed, voters));
        std::uint64_t version = 0;
        sendDocuments(simulation, version, Seconds(8));
        for (int lost = 0; lost < voters; lost += lostAtOnce) {
            const std::uint64_t before = simulation.highestAcceptedDocument();
            for (int member = lost; member < std::min(voters, lost + lostAtOnce); ++member) {
                simulation.loseDisk(member);
            }
            sendDocuments(simulation, version, Seconds(8));
            CHECK_COMPARE(simulation.highestAcceptedDocument(), >, before);
        }
        const std::uint64_t accepted = simulation.highestAcceptedDocument();
        for (int wait = 0; wait < 80 && simulation.highestReadDocument() < accepted; ++wait) {
            for (int member = 0; member < voters; ++member) {
                simulation.readDocument(member);
            }
            simulation.run(Milliseconds(100));
        }
        CHECK_COMPARE(simulation.highestReadDocument(), >=, accepted);
        STRCMP_EQUAL("", simulation.violation().c_str());
        simulation.run(Seconds(4));
        CHECK(simulation.isHealthy());
    }
}

} // namespace

TEST_GROUP(GroupDisksLostInTurn) {};

TEST(GroupDisksLostInTurn, threeVotersStopWhenEachLosesItsDisk)
{
    checkLostDisks(3, 1);
}

TEST(GroupDisksLostInTurn, fiveVotersStopWhenTwoAtATimeLoseTheirDisks)
{
    checkLostDisks(5, 2);
}
