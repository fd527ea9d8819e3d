// Estimates of when a caller first sent a request, from the time that it has left.
#include "TestSupport.h"
#include "coordination/policy/CallerTimeLimit.h"

using namespace kumquat;

TEST_GROUP(CallerAges) {};

TEST(CallerAges, aCallerThatTriesAgainHasLessTimeLeft)
{
    CallerTimeLimit limit;
    LONGS_EQUAL(0, limit.recordAndEstimateAge(Milliseconds(800)).count());
    LONGS_EQUAL(0, limit.recordAndEstimateAge(Milliseconds(800)).count());
    LONGS_EQUAL(150, limit.recordAndEstimateAge(Milliseconds(650)).count());
}

// With the largest time seen as the usual one, a few patient callers made all others look late.
TEST(CallerAges, patientCallersDoNotMakeOthersLookLate)
{
    CallerTimeLimit limit;
    for (int i = 0; i < 500; ++i) {
        if (i % 20 == 0) {
            (void)limit.recordAndEstimateAge(Milliseconds(60'000));
        } else if (i > 0) {
            const auto age = limit.recordAndEstimateAge(Milliseconds(800)).count();
            CHECK_TRUE(i < 5 || age == 0);
        }
    }
}

TEST(CallerAges, retriesAreSeenWhileHalfOfAllRequestsAreRetries)
{
    CallerTimeLimit limit;
    for (int i = 0; i < 100; ++i) {
        LONGS_EQUAL(0, limit.recordAndEstimateAge(Milliseconds(800)).count());
        LONGS_EQUAL(200, limit.recordAndEstimateAge(Milliseconds(600)).count());
    }
}
