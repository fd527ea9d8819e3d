// Heartbeats, departures and response headers of the platform's targets, valid and malformed.
#include "TestSupport.h"
#include "platform/Dialect.h"

using namespace kumquat;

namespace {

const char *const validHeartbeat
    = R"({"Service":"s","Address":"10.0.0.9:8080","Zone":"z","Version":"v1","Slots":2,
        "State":"ready","WarmupLeft":"1500ms","Sequence":4,"born":1788450321033})";

std::string withReplacement(const std::string &from, const std::string &to)
{
    std::string text = validHeartbeat;
    return text.replace(text.find(from), from.size(), to);
}

LoadReport loadOf(const char *value)
{
    http::response_header<> header;
    header.set("Kumquatdeal-Server-Load", value);
    return platform::dialectNamed("platform")
        .loadReport(header)
        .value_or(LoadReport { -1, -1, -1 });
}

} // namespace

TEST_GROUP(PlatformHeartbeats) {};

TEST(PlatformHeartbeats, aHeartbeatBecomesATargetRecord)
{
    const auto record = platform::parseHeartbeat("i-1", validHeartbeat);
    CHECK_TRUE(record.ok());
    STRCMP_EQUAL("10.0.0.9", record->ip.c_str());
    LONGS_EQUAL(8080, record->port);
    LONGS_EQUAL(1788450321033, record->incarnation);
    LONGS_EQUAL(4, record->version);
    LONGS_EQUAL(1'500, record->slowStartMs);
    CHECK_TRUE(record->state == TargetState::ready);
    CHECK_TRUE(platform::parseHeartbeat("i-1", withReplacement("ready", "draining"))->state
               == TargetState::draining);
}

TEST(PlatformHeartbeats, malformedHeartbeatsAreRejected)
{
    for (const std::string &text :
         { std::string("x"), std::string("[]"), withReplacement("\"ready\"", "\"odd\""),
           withReplacement("\"Slots\":2", "\"Slots\":\"2\""),
           withReplacement("10.0.0.9:8080", "somewhere"),
           withReplacement("\"born\":1788450321033", "\"born\":1.5"),
           withReplacement("\"Service\":\"s\",", ""),
           withReplacement("\"Sequence\":4", "\"Sequence\":-4") }) {
        CHECK_FALSE(platform::parseHeartbeat("i-1", text).ok());
    }
}

TEST(PlatformHeartbeats, aDepartureMayComeWithoutABody)
{
    CHECK_TRUE(platform::parseDeparture("i-1", "")->state == TargetState::gone);
    LONGS_EQUAL(7, platform::parseDeparture("i-1", "{\"born\":7}")->incarnation);
    CHECK_FALSE(platform::parseDeparture("i-1", "{\"born\":\"7\"}").ok());
}

TEST(PlatformHeartbeats, aLoadReportHasThreeOrFourNumbers)
{
    LONGS_EQUAL(5, loadOf("3,2,8").inFlight);
    LONGS_EQUAL(100, loadOf("3,2,8").slowdownPercent);
    LONGS_EQUAL(412, loadOf("3,0,8,412").slowdownPercent);
    LONGS_EQUAL(-1, loadOf("3,0").inFlight);
    LONGS_EQUAL(-1, loadOf("a,b,c").inFlight);
}

TEST(PlatformHeartbeats, onlyStatus421OrTheHeaderProvesThatNothingRan)
{
    const Dialect &dialect = platform::dialectNamed("platform");
    http::response_header<> plain;
    http::response_header<> marked;
    marked.set("Kumquatdeal-Not-Executed", "1");
    CHECK_FALSE(dialect.provesNotRun(503, plain));
    CHECK_TRUE(dialect.provesNotRun(503, marked));
    CHECK_TRUE(dialect.provesNotRun(421, plain));
}
