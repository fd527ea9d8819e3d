// Where a request goes, by what is known of the targets and how old it is.
#include "TestSupport.h"
#include "kumquat/Placement.h"

using namespace kumquat;

namespace {

PlacementCandidate view(int own, double foreign, double pace, Milliseconds age)
{
    PlacementCandidate result;
    result.slots = 2;
    result.inFlight = own;
    result.foreignLoad = foreign;
    result.slowdown = pace;
    result.reportAge = age;
    result.hasReport = true;
    return result;
}

constexpr Milliseconds now { 0 };

} // namespace

TEST_GROUP(PlacementChoices) {};

TEST(PlacementChoices, anIdleQuickTargetGoesBeforeAllOthers)
{
    const std::vector<PlacementCandidate> views
        = { view(0, 0, 4, now), view(1, 0, 1, now), view(0, 0, 1, now), view(0, 2, 1, now) };
    LONGS_EQUAL(2, selectTarget(views, 7));
}

TEST(PlacementChoices, aSecondRequestAtAQuickTargetBeatsAnIdleSlowOne)
{
    LONGS_EQUAL(1, selectTarget({ view(0, 0, 4, now), view(1, 0, 1, now) }, 7));
}

TEST(PlacementChoices, aFullTargetGetsNothing)
{
    LONGS_EQUAL(2, selectTarget({ view(2, 0, 1, now), view(0, 2, 1, now) }, 7));
    CHECK_TRUE(isKnownFull(view(1, 1, 1, now)));
}

TEST(PlacementChoices, anOldReportOfFullnessIsNotBelieved)
{
    CHECK_FALSE(isKnownFull(view(0, 2, 1, Milliseconds(200))));
    // What this entry itself has there is no report and does not age.
    CHECK_TRUE(isKnownFull(view(2, 0, 1, Milliseconds(200))));
}

TEST(PlacementChoices, aReportOfPaceFadesToTheUnknown)
{
    PlacementCandidate unknown;
    unknown.slots = 2;
    const double early = expectedSlowdown(view(0, 0, 4, now));
    const double later = expectedSlowdown(view(0, 0, 4, Milliseconds(300)));
    const double muchLater = expectedSlowdown(view(0, 0, 4, Milliseconds(5'000)));
    CHECK_TRUE(early > later && later > muchLater);
    DOUBLES_EQUAL(expectedSlowdown(unknown), muchLater, 0.01);
}

TEST(PlacementChoices, aTargetThatFailsFastDoesNotLookQuick)
{
    PlacementCandidate failing = view(0, 0, 1, now);
    failing.errorRate = 0.5;
    CHECK_TRUE(expectedSlowdown(failing) > expectedSlowdown(view(1, 0, 1, now)));
}

TEST(PlacementChoices, amongEqualsChanceDecides)
{
    const std::vector<PlacementCandidate> views(4, view(0, 0, 1, now));
    std::set<std::size_t> picked;
    for (std::uint64_t random = 0; random < 4; ++random) {
        picked.insert(selectTarget(views, random));
    }
    LONGS_EQUAL(4, picked.size());
}

TEST(PlacementChoices, freshReportsNeedNoQuestion)
{
    const std::vector<PlacementCandidate> views
        = { view(0, 0, 1, Milliseconds(1)), view(0, 0, 1, Milliseconds(90)), view(2, 0, 1, now) };
    const std::vector<std::size_t> asked = targetsToQuery(views, 8, 3);
    LONGS_EQUAL(1, asked.size());
    LONGS_EQUAL(1, asked[0]);
}

TEST(PlacementChoices, aPlaceThatEndsFarBeyondTheObjectiveIsHopeless)
{
    const RequestTiming time { Milliseconds(100), Milliseconds(200) };
    CHECK_FALSE(farExceedsObjective(3.1, time));
    CHECK_TRUE(farExceedsObjective(3.3, time));
    CHECK_TRUE(farExceedsObjective(1, { Milliseconds(100), Milliseconds(-1) }));
    // Before the first answer nothing is known of the work, and nothing is refused for it.
    CHECK_FALSE(farExceedsObjective(4, { Milliseconds(0), Milliseconds(200) }));
}

TEST(PlacementChoices, theRefusedComeBackSpreadAndInTime)
{
    constexpr Milliseconds objective { 400 };
    std::set<Milliseconds> times;
    for (std::uint64_t random = 0; random < 1'000; ++random) {
        times.insert(retryAfterDelay(objective, random));
    }
    CHECK_TRUE(*times.begin() >= objective / 10 && *times.rbegin() <= objective / 4);
    CHECK_TRUE(times.size() > 50);
}

TEST(PlacementChoices, onlyARequestThatAQuickTargetCanStillServeInTimeWaits)
{
    const RequestTiming early { Milliseconds(100), Milliseconds(300) };
    const RequestTiming late { Milliseconds(100), Milliseconds(150) };
    constexpr Milliseconds horizon { 12 };
    CHECK_TRUE(isWorthWaiting(4, early, horizon));
    CHECK_FALSE(isWorthWaiting(1.6, early, horizon));
    CHECK_FALSE(isWorthWaiting(4, late, horizon));
    CHECK_FALSE(isWorthWaiting(4, { Milliseconds(0), Milliseconds(300) }, horizon));
}
