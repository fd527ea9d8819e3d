// Entries tell one another what targets report; what is newer stays, and the cost is bounded.
#include "TestSupport.h"
#include "coordination/entry/LoadReportSharing.h"

using namespace kumquat;

namespace {

constexpr int targetCount = 100;

/// An entry's table, with statistics of its own for targets of the same names.
RoutingTable tableOf(const char *service)
{
    auto active = std::make_shared<ActiveService>();
    active->configuration.name = service;
    for (int i = 0; i < targetCount; ++i) {
        TargetRecord record;
        record.name = "target-" + std::to_string(i);
        active->targets.push_back(std::make_shared<const Target>(
            Target { record, {}, std::make_shared<TargetStats>(1) }));
    }
    RoutingTable table;
    table.services.push_back(active);
    return table;
}

TargetStats &statsAt(const RoutingTable &table, std::size_t index)
{
    return *table.services[0]->targets[index]->stats;
}

LoadReport load(int inFlight, int pace)
{
    LoadReport report;
    report.inFlight = inFlight;
    report.pacePercent = pace;
    return report;
}

} // namespace

TEST_GROUP(LoadSharingSpreads)
{
    RoutingTable here = tableOf("s");
    RoutingTable there = tableOf("s");
    test::VirtualClock clock;
    std::vector<std::string> sent;
    LoadSharing teller { [this](const Address &, const std::string &text) { sent.push_back(text); },
                         1 };
    LoadSharing hearer { [](const Address &, const std::string &) {}, 1 };

    void setup() override
    {
        teller.setTargets(here);
        hearer.setTargets(there);
        teller.setPeers({ { "10.0.0.1", 1 } });
    }
};

TEST(LoadSharingSpreads, aReportReachesTheOtherEntryWithItsAge)
{
    statsAt(here, 3).recordLoadReport(load(2, 400), 0, clock.now);
    clock.advance(Milliseconds(15));
    teller.tell(clock.now);
    LONGS_EQUAL(1, sent.size());
    hearer.receive(sent[0], clock.now);
    const TargetStats &heard = statsAt(there, 3);
    DOUBLES_EQUAL(4, heard.reportedSlowdown(), 0.001);
    DOUBLES_EQUAL(2, heard.reportedForeignLoad(), 0.001);
    CHECK_TRUE(clock.now - heard.reportedAt() == Milliseconds(15));
}

TEST(LoadSharingSpreads, hearsayNeverReplacesWhatIsNewer)
{
    statsAt(here, 3).recordLoadReport(load(2, 400), 0, clock.now);
    teller.tell(clock.now);
    clock.advance(Milliseconds(5));
    statsAt(there, 3).recordLoadReport(load(1, 100), 0, clock.now);
    hearer.receive(sent[0], clock.now);
    DOUBLES_EQUAL(1, statsAt(there, 3).reportedSlowdown(), 0.001);
}

TEST(LoadSharingSpreads, hearsayIsNotToldOn)
{
    statsAt(here, 3).recordPeerReport(load(2, 400), clock.now);
    teller.tell(clock.now);
    LONGS_EQUAL(0, sent.size());
}

TEST(LoadSharingSpreads, aReportIsToldOnce)
{
    statsAt(here, 3).recordLoadReport(load(2, 400), 0, clock.now);
    teller.tell(clock.now);
    clock.advance(LoadSharing::interval);
    teller.tell(clock.now);
    LONGS_EQUAL(1, sent.size());
}

TEST(LoadSharingSpreads, theCostOfABatchIsBounded)
{
    std::vector<Address> peers;
    for (std::uint16_t port = 1; port <= 50; ++port) {
        peers.push_back({ "10.0.0.1", port });
    }
    teller.setPeers(peers);
    for (std::size_t i = 0; i < targetCount; ++i) {
        statsAt(here, i).recordLoadReport(load(2, 400), 0, clock.now);
    }
    teller.tell(clock.now);
    LONGS_EQUAL(LoadSharing::fanOut, sent.size());
    CHECK_TRUE(sent[0].size() <= DatagramSocket::maxPayloadBytes);
}

TEST(LoadSharingSpreads, badBytesAreNoReport)
{
    hearer.receive("nonsense", clock.now);
    CHECK_TRUE(statsAt(there, 3).reportedAt() == TimePoint());
}
