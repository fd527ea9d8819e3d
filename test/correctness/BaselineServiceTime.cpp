// The baseline service time is not learned from slow targets: in a burst most targets are slow, and
// the estimate would grow with them.
#include "coordination/policy/BaselineServiceTime.h"
#include "TestSupport.h"
#include "kumquat/Placement.h"

using namespace kumquat;

TEST_GROUP(BaselineEstimate) {};

TEST(BaselineEstimate, responsesFromSlowTargetsDoNotChangeIt)
{
    BaselineServiceTime baseline;
    baseline.record(Milliseconds(200), 1);
    for (int i = 0; i < 100; ++i) {
        baseline.record(Milliseconds(1'200), 1.6);
    }
    LONGS_EQUAL(200'000, baseline.mean().count());
}

TEST(BaselineEstimate, theFirstResponseCountsAtAnySlowdown)
{
    BaselineServiceTime baseline;
    baseline.record(Milliseconds(400), 4);
    LONGS_EQUAL(100'000, baseline.mean().count());
}

// With one estimate for the service, the long requests made the short ones look late at any target.
TEST(BaselineEstimate, shortRequestsBesideLongOnesCanMeetTheirObjective)
{
    BaselineServiceTime shortRoute;
    BaselineServiceTime longRoute;
    for (int i = 0; i < 100; ++i) {
        shortRoute.record(Milliseconds(48), 1);
        longRoute.record(Milliseconds(150), 1);
    }
    const Milliseconds shortObjective(150);
    CHECK_TRUE(canMeetObjective({ shortRoute.mean(), shortObjective }));
    CHECK_FALSE(canMeetObjective({ longRoute.mean(), shortObjective }));
}
