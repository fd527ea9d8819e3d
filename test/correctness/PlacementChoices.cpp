// Selection of a target from candidates whose load reports differ in content and age.
#include "TestSupport.h"
#include "kumquat/Placement.h"

using namespace kumquat;

namespace {

PlacementCandidate candidate(int inFlight, double externalLoad, double slowdown,
                             Milliseconds reportAge)
{
    PlacementCandidate result;
    result.slots = 2;
    result.inFlight = inFlight;
    result.externalLoad = externalLoad;
    result.slowdown = slowdown;
    result.reportAge = reportAge;
    result.hasReport = true;
    return result;
}

constexpr Milliseconds fresh { 0 };

} // namespace

TEST_GROUP(PlacementChoices) {};

TEST(PlacementChoices, anIdleFastTargetIsSelectedFirst)
{
    const std::vector<PlacementCandidate> candidates
        = { candidate(0, 0, 4, fresh), candidate(1, 0, 1, fresh), candidate(0, 0, 1, fresh),
            candidate(0, 2, 1, fresh) };
    LONGS_EQUAL(2, selectTarget(candidates, 7));
}

TEST(PlacementChoices, aFastTargetWithOneRequestBeatsAnIdleSlowOne)
{
    LONGS_EQUAL(1, selectTarget({ candidate(0, 0, 4, fresh), candidate(1, 0, 1, fresh) }, 7));
}

TEST(PlacementChoices, aFullTargetIsNotSelected)
{
    LONGS_EQUAL(2, selectTarget({ candidate(2, 0, 1, fresh), candidate(0, 2, 1, fresh) }, 7));
    CHECK_TRUE(isKnownFull(candidate(1, 1, 1, fresh)));
}

TEST(PlacementChoices, aTargetWithAnOldReportCountsAsLoadedAsTheOthers)
{
    std::vector<PlacementCandidate> busy(10, candidate(0, 2, 1, Milliseconds(20)));
    busy.push_back(candidate(0, 0, 1, Seconds(3)));
    setTypicalLoad(busy);
    LONGS_EQUAL(busy.size(), selectTarget(busy, 7));
    std::vector<PlacementCandidate> idle(10, candidate(0, 0, 1, Milliseconds(20)));
    idle.push_back(candidate(0, 2, 1, Seconds(3)));
    setTypicalLoad(idle);
    CHECK_FALSE(isKnownFull(idle.back()));
}

TEST(PlacementChoices, anOldReportDoesNotMakeATargetFull)
{
    CHECK_FALSE(isKnownFull(candidate(0, 2, 1, Milliseconds(200))));
    // The requests of this entry itself are counted, not reported, so their number does not age.
    CHECK_TRUE(isKnownFull(candidate(2, 0, 1, Milliseconds(200))));
}

TEST(PlacementChoices, aReportedSlowdownDecaysToTheDefault)
{
    PlacementCandidate unreported;
    unreported.slots = 2;
    const double early = expectedSlowdown(candidate(0, 0, 4, fresh));
    const double later = expectedSlowdown(candidate(0, 0, 4, Milliseconds(300)));
    const double muchLater = expectedSlowdown(candidate(0, 0, 4, Milliseconds(5'000)));
    CHECK_TRUE(early > later && later > muchLater);
    DOUBLES_EQUAL(expectedSlowdown(unreported), muchLater, 0.01);
}

TEST(PlacementChoices, aTargetThatFailsFastDoesNotCountAsFast)
{
    PlacementCandidate failing = candidate(0, 0, 1, fresh);
    failing.errorRate = 0.5;
    CHECK_TRUE(expectedSlowdown(failing) > expectedSlowdown(candidate(1, 0, 1, fresh)));
}

TEST(PlacementChoices, equalCandidatesAreSelectedAtRandom)
{
    const std::vector<PlacementCandidate> candidates(4, candidate(0, 0, 1, fresh));
    std::set<std::size_t> picked;
    for (std::uint64_t random = 0; random < 4; ++random) {
        picked.insert(selectTarget(candidates, random));
    }
    LONGS_EQUAL(4, picked.size());
}

TEST(PlacementChoices, targetsWithFreshReportsAreNotProbed)
{
    const std::vector<PlacementCandidate> candidates
        = { candidate(0, 0, 1, Milliseconds(1)), candidate(0, 0, 1, Milliseconds(90)),
            candidate(2, 0, 1, fresh) };
    const std::vector<std::size_t> probed = candidatesToProbe(candidates, 8, 3);
    LONGS_EQUAL(1, probed.size());
    LONGS_EQUAL(1, probed[0]);
}

TEST(PlacementChoices, requestsThatFarExceedTheObjectiveAreDetected)
{
    const RequestTiming timing { Milliseconds(100), Milliseconds(200) };
    CHECK_FALSE(farExceedsObjective(3.1, timing));
    CHECK_TRUE(farExceedsObjective(3.3, timing));
    CHECK_TRUE(farExceedsObjective(1, { Milliseconds(100), Milliseconds(-1) }));
    // The service time is unknown before the first response, and no request is rejected for it.
    CHECK_FALSE(farExceedsObjective(4, { Milliseconds(0), Milliseconds(200) }));
}

// A route with a latency objective of 1 or 5 ms was refused for good after its first response.
TEST(PlacementChoices, aRouteWhoseObjectiveNoTargetCanMeetIsServed)
{
    for (const Milliseconds objective : { Milliseconds(0), Milliseconds(5), Milliseconds(15) }) {
        const RequestTiming timing { Milliseconds(10), objective - Milliseconds(1), objective };
        CHECK_FALSE(farExceedsObjective(2, timing));
    }
    const RequestTiming attainable { Milliseconds(10), Milliseconds(1), Milliseconds(20) };
    CHECK_TRUE(farExceedsObjective(2, attainable));
}

TEST(PlacementChoices, retryDelaysAreSpreadAndShorterThanTheObjective)
{
    constexpr Milliseconds objective { 400 };
    std::set<Milliseconds> delays;
    for (std::uint64_t random = 0; random < 1'000; ++random) {
        delays.insert(retryAfterDelay(objective, random));
    }
    CHECK_TRUE(*delays.begin() >= objective / 10 && *delays.rbegin() <= objective / 4);
    CHECK_TRUE(delays.size() > 50);
}

TEST(PlacementChoices, aRequestWaitsOnlyIfAFastTargetCanStillMeetItsObjective)
{
    const RequestTiming early { Milliseconds(100), Milliseconds(300) };
    const RequestTiming late { Milliseconds(100), Milliseconds(150) };
    constexpr Milliseconds wait { 12 };
    CHECK_TRUE(isWorthWaiting(4, early, wait));
    CHECK_FALSE(isWorthWaiting(1.6, early, wait));
    CHECK_FALSE(isWorthWaiting(4, late, wait));
    CHECK_FALSE(isWorthWaiting(4, { Milliseconds(0), Milliseconds(300) }, wait));
}
