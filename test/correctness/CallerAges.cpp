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
    const auto age = limit.recordAndEstimateAge(Milliseconds(650)).count();
    CHECK_TRUE(age > 140 && age <= 150);
}

TEST(CallerAges, aFewCallersWithMuchTimeAreForgotten)
{
    CallerTimeLimit limit;
    (void)limit.recordAndEstimateAge(Milliseconds(60'000));
    for (int i = 0; i < 500; ++i) {
        (void)limit.recordAndEstimateAge(Milliseconds(800));
    }
    CHECK_TRUE(limit.recordAndEstimateAge(Milliseconds(800)).count() < 10);
}
