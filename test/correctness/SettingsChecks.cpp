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
