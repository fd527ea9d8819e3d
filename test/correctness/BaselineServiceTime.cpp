// What a request takes at an ordinary pace is not learned from slow places, as in a burst.
#include "TestSupport.h"
#include "coordination/entry/ServiceRuntime.h"

using namespace kumquat;

TEST_GROUP(OrdinaryWork) {};

TEST(OrdinaryWork, aBurstOfAnswersFromSlowPlacesLeavesItAlone)
{
    ServiceRuntime runtime;
    runtime.recordBaselineSample(Milliseconds(200), 1);
    for (int i = 0; i < 100; ++i) {
        runtime.recordBaselineSample(Milliseconds(1'200), 1.6);
    }
    LONGS_EQUAL(200'000, runtime.baselineServiceTime().count());
}

TEST(OrdinaryWork, theFirstAnswerCountsWhateverItsPlace)
{
    ServiceRuntime runtime;
    runtime.recordBaselineSample(Milliseconds(400), 4);
    LONGS_EQUAL(100'000, runtime.baselineServiceTime().count());
}
