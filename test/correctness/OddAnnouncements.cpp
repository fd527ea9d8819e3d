// An odd announcement is refused alone: no reader throws, and the records of others stay usable.
#include "TestSupport.h"
#include "coordination/control/ControlRpc.h"
#include "coordination/control/TargetRegistry.h"
#include "platform/Dialect.h"
#include "platform/Target.h"
#include "protocol/Announcement.h"
#include "protocol/Codec.h"
#include "state/RecordFile.h"
#include "transport/Address.h"

#include <absl/strings/match.h>

using namespace kumquat;

namespace {

const std::string validHeartbeat
    = R"({"Service":"s","Address":"10.0.0.9:8080","Zone":"z","Version":"v1","Slots":2,)"
      R"("State":"ready","WarmupLeft":"1500ms","Sequence":4,"born":1788450321033})";

std::string heartbeatWith(const std::string &from, const std::string &to)
{
    std::string text = validHeartbeat;
    return text.replace(text.find(from), from.size(), to);
}

std::string withValue(const std::string &key, const std::string &value)
{
    const std::size_t start = validHeartbeat.find("\"" + key + "\":") + key.size() + 3;
    std::string text = validHeartbeat;
    return text.replace(start, text.find_first_of(",}", start) - start, value);
}

TargetRecord target(const char *name)
{
    TargetRecord record;
    record.name = name;
    record.service = "s";
    record.ip = "10.0.0.9";
    record.port = 8080;
    record.incarnation = 1;
    record.state = TargetState::ready;
    return record;
}

/// Records that no process can use.
std::vector<TargetRecord> oddRecords()
{
    std::vector<TargetRecord> records(8, target("odd"));
    records[0].port = 0;
    records[1].ip = "somewhere";
    records[2].ip = "0.0.0.0";
    records[3].slots = std::numeric_limits<std::int32_t>::max();
    records[4].slots = -1;
    records[5].name = std::string(10'000, 'n');
    records[6].service = "\xff";
    records[7].state = static_cast<TargetState>(9);
    return records;
}

/// A registry whose disk holds \p stored as the file of known targets.
std::unique_ptr<TargetRegistry> makeRegistry(asio::io_context &loop, const std::string &stored = "")
{
    TargetRegistryOptions options;
    options.name = "a";
    options.heartbeatInterval = Milliseconds(1'500);
    Disk disk;
    disk.read = [stored](const std::string &) { return stored; };
    disk.replace = [](const std::string &, const std::string &) { return absl::OkStatus(); };
    TargetRegistryHooks hooks;
    hooks.runDiskWork = [](const auto &work, const auto &done) { done(work()); };
    auto registry = std::make_unique<TargetRegistry>(
        loop, options, platform::dialectNamed("platform"), disk, std::move(hooks));
    registry->loadTargets();
    return registry;
}

std::vector<FeedItem> itemsOf(const TargetRegistry &registry)
{
    return registry.feed().itemsAfter(0, Clock::now());
}

} // namespace

TEST_GROUP(OddAnnouncements) {};

TEST(OddAnnouncements, heartbeatsWithOddMembersAreRefused)
{
    const std::vector<std::string> addresses { "10.0.0.9",
                                               "10.0.0.9:",
                                               "10.0.0.9:0",
                                               "10.0.0.9:65536",
                                               "10.0.0.9:99999999999",
                                               "10.0.0.9:-1",
                                               "10.0.0.9:0x50",
                                               "10.0.0.9:+80",
                                               "10.0.0.9: 80",
                                               "10.0.0.9:80 ",
                                               "10.0.0.9\\u0000:80",
                                               "10.0.0.9:80\\u0000",
                                               "010.0.0.9:80",
                                               "0.0.0.0:80",
                                               "255.255.255.255:80",
                                               "224.0.0.1:80",
                                               "256.0.0.1:80",
                                               "[::1]:80",
                                               "host:80",
                                               ":80" };
    for (const std::string &address : addresses) {
        const std::string text = heartbeatWith("10.0.0.9:8080", address);
        CHECK_TEXT(!platform::parseHeartbeat("i", text).ok(), text.c_str());
    }
    for (const char *key : { "Service", "Address", "Zone", "Version", "Slots", "State",
                             "WarmupLeft", "Sequence", "born" }) {
        for (const char *value :
             { "null", "true", "[]", "{}", "{\"a\":{\"a\":1}}", "-1", "1.5", "1e400",
               "9223372036854775808", "18446744073709551616", "\"\xff\"", "\"\\ud800\"" }) {
            const std::string text = withValue(key, value);
            CHECK_TEXT(!platform::parseHeartbeat("i", text).ok(), text.c_str());
        }
    }
    for (const char *slots : { "10001", "2147483647", "2147483648", "4294967296", "4294967297",
                               "9223372036854775807" }) {
        const std::string text = withValue("Slots", slots);
        CHECK_TEXT(!platform::parseHeartbeat("i", text).ok(), text.c_str());
    }
    for (const char *left :
         { "\"\"", "\"5\"", "\"99999999999999999999ms\"", "\"-1s\"", "\"1h\"" }) {
        const std::string text = withValue("WarmupLeft", left);
        CHECK_TEXT(!platform::parseHeartbeat("i", text).ok(), text.c_str());
    }
    for (const char *born : { "9223372036854775807", "253402300800000" }) {
        CHECK_FALSE(platform::parseHeartbeat("i", withValue("born", born)).ok());
        CHECK_FALSE(platform::parseDeparture("i", std::string("{\"born\":") + born + "}").ok());
    }
}

TEST(OddAnnouncements, deepLongAndUnreadableMessagesAreRefused)
{
    std::vector<std::string> texts { std::string(100'000, '['),
                                     std::string(100'000, '{'),
                                     withValue("Zone", std::string(100'000, '[')),
                                     withValue("Zone", "\"" + std::string(10'000, 'z') + "\""),
                                     withValue("Zone", "\"z\\n\""),
                                     "\xef\xbb\xbf" + validHeartbeat,
                                     validHeartbeat + "x",
                                     heartbeatWith("\"Zone\"", "/**/\"Zone\""),
                                     heartbeatWith("\"Zone\"", "\"born\":1,\"Zone\"") };
    for (const std::string &text : texts) {
        CHECK_FALSE(platform::parseHeartbeat("i", text).ok());
        CHECK_FALSE(platform::parseDeparture("i", text + "[").ok());
        CHECK_FALSE(parseAnnouncement("i", text).ok());
    }
    for (const std::string &name : { std::string(), std::string(256, 'n'), std::string("\xff"),
                                     std::string("a\nb"), std::string("a\x7f") }) {
        CHECK_FALSE(platform::parseHeartbeat(name, validHeartbeat).ok());
        CHECK_FALSE(platform::parseDeparture(name, "").ok());
    }
}

TEST(OddAnnouncements, unusualButValidHeartbeatsAreTaken)
{
    for (const std::string &text :
         { validHeartbeat, withValue("Slots", "10000"), withValue("Slots", "0"),
           withValue("Slots", "2.0"), withValue("Sequence", "9223372036854775807"),
           withValue("WarmupLeft", "\"0.5s\""), withValue("born", "0"),
           heartbeatWith("\"Zone\"", "\"New\":[{\"a\":null}],\"Zone\""),
           withValue("Version", "\"\"") }) {
        CHECK_TEXT(platform::parseHeartbeat("i", text).ok(), text.c_str());
    }
    LONGS_EQUAL(
        600'000,
        platform::parseHeartbeat("i", withValue("WarmupLeft", "\"90000000s\""))->slowStartMs);
}

TEST(OddAnnouncements, theOwnDialectRefusesOddNumbersAndAddresses)
{
    const std::string valid
        = R"({"service":"s","address":"10.0.0.9:80","incarnation":1,"slots":4,"leaseMs":1000})";
    CHECK_TRUE(parseAnnouncement("a", valid).ok());
    for (const auto &change : std::vector<std::pair<std::string, std::string>> {
             { "9:80", "9:65536" },
             { "9:80", "9:0" },
             { "9:80", "9:+80" },
             { "\"slots\":4", "\"slots\":1e400" },
             { "\"slots\":4", "\"slots\":4294967297" },
             { "incarnation\":1", "incarnation\":9223372036854775808" },
             { "\"s\"", "\"\xff\"" },
             { "\"s\"", "[[[[]]]]" },
             { "10.0.0.9", "0.0.0.0" } }) {
        std::string text = valid;
        text.replace(text.find(change.first), change.first.size(), change.second);
        CHECK_TEXT(!parseAnnouncement("a", text).ok(), text.c_str());
    }
}

TEST(OddAnnouncements, oddRecordsOfAnotherMemberAreLeftOutOfTheFeed)
{
    asio::io_context loop;
    const auto registry = makeRegistry(loop);
    FeedResponse response;
    response.items.push_back({ target("first"), false });
    for (const TargetRecord &record : oddRecords()) {
        response.items.push_back({ record, false });
    }
    response.items.push_back({ target("last"), false });
    registry->merge(*unpack<FeedResponse>(pack(response)));
    LONGS_EQUAL(2, itemsOf(*registry).size());
}

TEST(OddAnnouncements, oddRecordsInTheTargetCacheAreLeftOut)
{
    asio::io_context loop;
    std::string stored;
    for (const TargetRecord &record : oddRecords()) {
        stored += frameRecord(pack(FeedItem { record, false }));
    }
    stored += frameRecord(std::string(100'000, '\x91'));
    stored += frameRecord(pack(FeedItem { target("valid"), false }));
    LONGS_EQUAL(1, itemsOf(*makeRegistry(loop, stored)).size());
    LONGS_EQUAL(0, itemsOf(*makeRegistry(loop, stored.substr(0, stored.size() - 1))).size());
    LONGS_EQUAL(0, itemsOf(*makeRegistry(loop, std::string(100'000, '\x91'))).size());
    LONGS_EQUAL(0, itemsOf(*makeRegistry(loop, "")).size());
}

TEST(OddAnnouncements, operatorsCallsThatCannotBeReadGetAnError)
{
    ControlRpcHooks hooks;
    hooks.status = [](const Json::Value &) -> Json::Value { throw std::runtime_error("odd"); };
    ControlRpc rpc(std::move(hooks));
    const std::string start = R"({"jsonrpc":"2.0","id":1,"method":)";
    for (const std::string &text :
         { std::string(), std::string("x"), std::string("7"), std::string("[]"), std::string("[7]"),
           std::string("[[]]"), std::string("{}"), std::string(100'000, '['), start + "7}",
           start + "{}}", start + "\"status\"}", start + "\"status\",\"params\":7}",
           start + "\"status\",\"params\":{}}", start + "\"status\",\"params\":[1]}",
           std::string(R"({"jsonrpc":2.0,"id":{},"method":"status"})"),
           start + "\"status\",\"params\":{\"a\":" + std::string(5'000, '[')
               + std::string(5'000, ']') + "}}",
           start + "\"\xff\"}" }) {
        CHECK_TEXT(absl::StrContains(rpc.handle(text), "\"error\""), text.substr(0, 80).c_str());
    }
}
