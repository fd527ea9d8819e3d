// Changes of the configuration are merged by file name and validated as a whole; they may be sent
// again, and of two concurrent changes only one is accepted.
#include "TestSupport.h"
#include "protocol/Codec.h"
#include "state/ControlState.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

using namespace kumquat;

namespace {

const char service[] = "{\"services\":{\"a\":{\"routes\":[{\"pathPrefix\":\"/a/\"}]}}}";

ConfigurationChange write(const std::string &id, std::uint64_t base, const std::string &content)
{
    ConfigurationChange change;
    change.id = id;
    change.base = base;
    change.writes.push_back({ "10.json", content });
    return change;
}

} // namespace

TEST_GROUP(ConfigurationChanges)
{
    ReplicatedConfiguration configuration;
};

TEST(ConfigurationChanges, OnlyTheFirstOfTwoChangesOnTheSameBaseIsAccepted)
{
    CHECK(configuration.apply(write("one", 0, service)).status == ChangeStatus::accepted);
    const ChangeResult other = configuration.apply(write("two", 0, service));
    CHECK(other.status == ChangeStatus::conflict);
    CHECK(absl::StrContains(other.message, "remedy"));
    LONGS_EQUAL(1, configuration.number());
}

TEST(ConfigurationChanges, AResentChangeGetsItsResultAfterLaterChangesAndASnapshot)
{
    configuration.apply(write("first", 0, service));
    for (std::uint64_t i = 1; i <= 600; ++i) {
        configuration.apply(write(absl::StrCat("change-", i), i, service));
    }
    auto restored = unpack<ReplicatedConfiguration>(pack(configuration));
    CHECK(restored.ok());
    const ChangeResult again = restored->apply(write("first", 0, service));
    CHECK(again.status == ChangeStatus::accepted);
    LONGS_EQUAL(1, again.number);
    LONGS_EQUAL(601, restored->number());
}

TEST(ConfigurationChanges, AnInvalidMergeIsRefusedAsAWhole)
{
    configuration.apply(write("good", 0, service));
    const ChangeResult bad = configuration.apply(write("bad", 1, "{\"services\":{\"a\":{}}}"));
    CHECK(bad.status == ChangeStatus::refused);
    CHECK(absl::StrContains(bad.message, "/services/a/routes"));
    LONGS_EQUAL(1, configuration.number());
}

TEST(ConfigurationChanges, LaterFilesOverrideEarlierOnesMemberByMember)
{
    const auto merged = parseConfiguration(
        { { "20.json", "{\"services\":{\"a\":{\"deadlineMs\":77}}}" }, { "10.json", service } });
    CHECK(merged.ok());
    LONGS_EQUAL(1, merged->services.size());
    LONGS_EQUAL(77, merged->services[0].deadline.count());
}

TEST(ConfigurationChanges, EveryProblemIsReportedWithItsPath)
{
    const auto parsed = parseConfiguration(
        { { "10.json",
            "{\"services\":{\"a\":{\"routes\":[{\"pathPrefix\":\"x\",\"kind\":\"maybe\"}],"
            "\"deadlineMs\":0,\"typo\":1}}}" } });
    CHECK_FALSE(parsed.ok());
    const std::string message(parsed.status().message());
    for (const char *path : { "/services/a/routes/0/pathPrefix", "/services/a/routes/0/kind",
                              "/services/a/deadlineMs", "/services/a/typo" }) {
        CHECK_TEXT(absl::StrContains(message, path), path);
    }
}

TEST(ConfigurationChanges, DuplicateKeysAndTrailingTextAreRefused)
{
    CHECK_FALSE(parseConfiguration({ { "a.json", "{\"x\":1,\"x\":2}" } }).ok());
    CHECK_FALSE(parseConfiguration({ { "a.json", "{} {}" } }).ok());
}
