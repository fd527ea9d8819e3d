// Each log line is one JSON object; lines of one event above the rate limit are dropped and
// counted.
#include "TestSupport.h"
#include "common/JsonReader.h"
#include "common/LogLine.h"

using namespace kumquat;

namespace {

Json::Value parsed(const std::string &text)
{
    const auto value = parseJson("line", "{" + logMembers(330, text) + "}", ErrorKind::badMessage);
    CHECK_TRUE(value.ok());
    return *value;
}

} // namespace

TEST_GROUP(LogLines) {};

TEST(LogLines, leadingKeysBecomeMembersAndTheRestIsText)
{
    const Json::Value line = parsed("request=9c41 ms=12 because the queue=full");
    LONGS_EQUAL(330, line["event"].asInt());
    STRCMP_EQUAL("9c41", line["request"].asCString());
    STRCMP_EQUAL("12", line["ms"].asCString());
    STRCMP_EQUAL("because the queue=full", line["text"].asCString());
    CHECK_FALSE(line.isMember("queue"));
}

TEST(LogLines, textFromACallerIsEscaped)
{
    const Json::Value line = parsed("request=\"},{\"a\":1 \n\t\x01 x");
    STRCMP_EQUAL("\"},{\"a\":1", line["request"].asCString());
}

TEST(LogLines, linesAboveTheRateLimitAreDroppedAndCounted)
{
    LogRateLimiter limiter;
    test::VirtualClock clock;
    int passed = 0;
    constexpr int lineCount = 10'000;
    for (int i = 0; i < lineCount; ++i) {
        passed += limiter.admit(330, clock.now).admitted ? 1 : 0;
    }
    LONGS_EQUAL(LogRateLimiter::linesPerSecond, passed);
    CHECK_TRUE(limiter.admit(331, clock.now).admitted);
    clock.advance(Seconds(1));
    const LogRateLimiter::Decision next = limiter.admit(330, clock.now);
    CHECK_TRUE(next.admitted);
    LONGS_EQUAL(lineCount - LogRateLimiter::linesPerSecond, next.droppedBefore);
}
