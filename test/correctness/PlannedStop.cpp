// During a planned stop a request starts only if its deadline leaves time to deliver the response.
#include "coordination/policy/PlannedStop.h"
#include "TestSupport.h"

using namespace kumquat;

namespace {

constexpr TimePoint sigterm { Seconds(1'000) };
constexpr Milliseconds limit { 5'500 };

} // namespace

TEST_GROUP(PlannedStop)
{
    kumquat::PlannedStop stop;
};

TEST(PlannedStop, beforeItAnyRequestMayStart)
{
    CHECK_FALSE(stop.hasBegun());
    CHECK_TRUE(stop.mayStart(sigterm + Seconds(3'600)));
    CHECK_TRUE(stop.mayStart(TimePoint::max()));
}

// Guards against requests that are taken late in a planned stop and cut without a response.
TEST(PlannedStop, aRequestThatMayOutlastItIsNotStarted)
{
    stop.begin(sigterm, limit);
    CHECK_TRUE(stop.hasBegun());
    CHECK_TRUE(stop.mayStart(sigterm + Milliseconds(800)));
    CHECK_TRUE(stop.mayStart(sigterm + limit - PlannedStop::deliveryTime));
    CHECK_FALSE(stop.mayStart(sigterm + limit - PlannedStop::deliveryTime + Milliseconds(1)));
    CHECK_FALSE(stop.mayStart(sigterm + Seconds(20)));
}

TEST(PlannedStop, aSecondSignalDoesNotProlongIt)
{
    stop.begin(sigterm, limit);
    stop.begin(sigterm + Seconds(3), limit);
    CHECK_TRUE(stop.end() == sigterm + limit);
}
