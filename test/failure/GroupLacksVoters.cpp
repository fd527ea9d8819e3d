// Groups that have fewer voters than the losses to bear need: two losses need five.
#include "failure/GroupSimulation.h"

using namespace kumquat;
using namespace kumquat::test;

namespace {

GroupSimulationOptions fiveWanted(std::uint64_t seed, int members)
{
    GroupSimulationOptions options;
    options.seed = seed;
    options.members = members;
    options.initialMembers = 3;
    options.maxVoters = 5;
    return options;
}

int membersThatWarn(const GroupSimulation &simulation)
{
    int count = 0;
    for (int member = 0; member < simulation.size(); ++member) {
        const GroupNode *node = simulation.member(member);
        count += node != nullptr && node->lacksVoters() ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_GROUP(GroupLacksVoters) {};

// Four members that must bear two losses went unnoticed until both were lost.
TEST(GroupLacksVoters, everyMemberOfATooSmallGroupSaysSo)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        GroupSimulation simulation(fiveWanted(seed, 4));
        simulation.run(Seconds(20));
        CHECK_EQUAL(4, membersThatWarn(simulation));
    }
}

TEST(GroupLacksVoters, aWholeGroupSaysNothingWhileLostDisksAreReplaced)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        GroupSimulation simulation(fiveWanted(seed, 5));
        for (int second = 0; second < 60; ++second) {
            if (second % 20 == 10) {
                simulation.loseDisk(second / 20);
            }
            simulation.run(Seconds(1));
            CHECK_EQUAL(0, membersThatWarn(simulation));
        }
        CHECK(simulation.isHealthy());
    }
}

TEST(GroupLacksVoters, theWarningEndsWhenTheMissingMembersHaveJoined)
{
    bool warned = false;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        GroupSimulationOptions options = fiveWanted(seed, 5);
        options.startWindow = Seconds(60);
        GroupSimulation simulation(options);
        for (int second = 0; second < 80; ++second) {
            simulation.run(Seconds(1));
            warned = warned || membersThatWarn(simulation) > 0;
        }
        CHECK(simulation.isHealthy());
        CHECK_EQUAL(0, membersThatWarn(simulation));
    }
    CHECK(warned);
}
