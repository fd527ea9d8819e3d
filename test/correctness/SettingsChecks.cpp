// Settings are validated as a whole: durations need a unit, and errors name the setting's path.
#include "TestSupport.h"
#include "kumquat/Settings.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

using namespace kumquat;

namespace {

std::string entryWith(const std::string &more)
{
    return absl::StrCat(R"({ "name": "e", "failureDomain": "a", "callerAddress": "10.0.0.1:1",
        "internalAddress": "10.0.0.1:2", "controlSeeds": ["10.0.0.2:3"])",
                        more, "}");
}

std::string controlWith(const std::string &more)
{
    return absl::StrCat(R"({ "name": "c", "failureDomain": "a", "dataFolder": "/d",
        "listenAddress": "10.0.0.1:1", "seeds": ["10.0.0.2:3"])",
                        more, "}");
}

void checkRefused(const absl::Status &status, const char *path)
{
    CHECK_FALSE(status.ok());
    CHECK_TRUE(absl::StrContains(status.message(), path));
}

} // namespace

TEST_GROUP(SettingsChecks) {};

TEST(SettingsChecks, theStopLimitIsTheRestOfStopWithinAfterTheGracePeriod)
{
    const auto settings
        = parseEntrySettings("f", entryWith(R"(, "stopGraceMs": 2600, "stopWithin": "6s")"));
    CHECK_TRUE(settings.ok());
    LONGS_EQUAL(2'900, settings->stopLimitMs);
}

TEST(SettingsChecks, theStopLimitIsZeroWhenTheGracePeriodTakesAllTheTime)
{
    const auto settings
        = parseEntrySettings("f", entryWith(R"(, "stopGraceMs": 2600, "stopWithin": "2s")"));
    CHECK_TRUE(settings.ok());
    LONGS_EQUAL(0, settings->stopLimitMs);
}

TEST(SettingsChecks, theHeartbeatNeedsAUnitAndHasBounds)
{
    const auto settings = parseControlSettings("f", controlWith(R"(, "heartbeat": "0.5s")"));
    CHECK_TRUE(settings.ok());
    LONGS_EQUAL(500, settings->heartbeat.count());
    checkRefused(parseControlSettings("f", controlWith(R"(, "heartbeat": 500)")).status(),
                 "/heartbeat");
    checkRefused(parseControlSettings("f", controlWith(R"(, "heartbeat": "1h")")).status(),
                 "/heartbeat");
}

TEST(SettingsChecks, theRetryBudgetTakesFractionsBooleansAndNoValueAtAll)
{
    const auto slackOf = [](const std::string &value) {
        const auto settings = parseEntrySettings(
            "f", entryWith(R"(, "retryBudget": { "ratio": "0.1", "slack": )" + value + "}"));
        CHECK_TEXT(settings.ok(), value.c_str());
        DOUBLES_EQUAL(0.1, settings->retryBudget.ratio, 1e-9);
        return settings->retryBudget.slack;
    };
    const std::vector<std::pair<const char *, int>> cases {
        { "42", 42 },       { "42.5", 42 },   { "42.999", 42 },     { "true", 1 },  { "false", 0 },
        { "\"42.5\"", 42 }, { "\"64\"", 64 }, { "\"true\"", 1 },    { "\"\"", 20 }, { "null", 20 },
        { "0.5", 0 },       { "-3", 0 },      { "1e9", 1'000'000 },
    };
    for (const auto &expected : cases) {
        LONGS_EQUAL(expected.second, slackOf(expected.first));
    }
    checkRefused(
        parseEntrySettings("f", entryWith(R"(, "retryBudget": { "slack": "many" })")).status(),
        "/retryBudget/slack");
    checkRefused(
        parseEntrySettings("f", entryWith(R"(, "retryBudget": { "slack": "nan" })")).status(),
        "/retryBudget/slack");
}

TEST(SettingsChecks, anEmptyStopWithinSetsNoStopLimit)
{
    const auto settings = parseEntrySettings("f", entryWith(R"(, "stopWithin": "")"));
    CHECK_TRUE(settings.ok());
    LONGS_EQUAL(600'000, settings->stopLimitMs);
}

TEST(SettingsChecks, settingsMayHaveCommentsAndNothingElseThatIsNotJson)
{
    CHECK_TRUE(parseEntrySettings("f", "// comment\n" + entryWith("/* more */")).ok());
    for (const std::string &text :
         { entryWith(","), entryWith("") + "}", "\xef\xbb\xbf" + entryWith(""),
           entryWith(R"(, "threads": 01)"), "// \xff\n" + entryWith("") }) {
        checkRefused(parseEntrySettings("f", text).status(), "line ");
    }
}

TEST(SettingsChecks, theMetricsAddressIsChecked)
{
    checkRefused(parseEntrySettings("f", entryWith(R"(, "metricsAddress": "here")")).status(),
                 "/metricsAddress");
}
