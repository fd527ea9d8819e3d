// The baseline service time is not learned from slow targets: in a burst most targets are slow, and
// the estimate would grow with them.
#include "TestSupport.h"
#include "coordination/entry/ServiceRuntime.h"

using namespace kumquat;

TEST_GROUP(BaselineServiceTime) {};

TEST(BaselineServiceTime, responsesFromSlowTargetsDoNotChangeIt)
{
    ServiceRuntime runtime;
    runtime.recordBaselineSample(Milliseconds(200), 1);
    for (int i = 0; i < 100; ++i) {
        runtime.recordBaselineSample(Milliseconds(1'200), 1.6);
    }
    LONGS_EQUAL(200'000, runtime.baselineServiceTime().count());
}

TEST(BaselineServiceTime, theFirstResponseCountsAtAnySlowdown)
{
    ServiceRuntime runtime;
    runtime.recordBaselineSample(Milliseconds(400), 4);
    LONGS_EQUAL(100'000, runtime.baselineServiceTime().count());
}
