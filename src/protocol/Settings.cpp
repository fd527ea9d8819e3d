#include "kumquat/Settings.h"

#include "common/JsonReader.h"
#include "transport/Address.h"

#include <absl/strings/ascii.h>
#include <fstream>
#include <sstream>

namespace kumquat {

namespace {

constexpr std::size_t minKeyBytes = 16;
constexpr double maxRetryRatio = 10;
constexpr double maxRetrySlack = 1'000'000;
constexpr double maxLinkMbps = 1'000'000;

absl::StatusOr<std::string> readFile(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        return makeError(ErrorKind::badSettings, "cannot read " + file, "name a readable file");
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

std::string readAddress(JsonObject &object, const char *key, JsonProblems &problems)
{
    const std::string text = object.text(key);
    if (!text.empty() && !parseAddress(text).ok()) {
        problems.add(object.pathOf(key), "is '" + text + "'", "write an address as IP:PORT");
    }
    return text;
}

std::string readOptionalAddress(JsonObject &object, const char *key, JsonProblems &problems)
{
    return object.member(key).isNull() ? "" : readAddress(object, key, problems);
}

std::vector<std::string> readAddresses(JsonObject &object, const char *key, JsonProblems &problems)
{
    std::vector<std::string> addresses = object.texts(key, true);
    for (const std::string &text : addresses) {
        if (!parseAddress(text).ok()) {
            problems.add(object.pathOf(key), "holds '" + text + "'", "write addresses as IP:PORT");
        }
    }
    return addresses;
}

std::vector<ControlMember> readMembers(JsonObject &object, JsonProblems &problems)
{
    std::vector<ControlMember> members;
    const Json::Value &list = object.member("members");
    const std::string path = object.pathOf("members");
    if (!list.isArray() || list.empty()) {
        problems.add(path, "holds no member", "list each member as { \"name\", \"address\" }");
        return members;
    }
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        JsonObject member(list[i], path + "/" + std::to_string(i), problems);
        const std::string name = member.text("name");
        members.push_back({ name, readAddress(member, "address", problems) });
        member.reportUnknownMembers();
    }
    return members;
}

std::string readDialect(JsonObject &object, JsonProblems &problems)
{
    std::string name = object.text("dialect", "kumquat");
    if (name != "kumquat" && name != "platform") {
        problems.add(object.pathOf("dialect"), "is '" + name + "'", "write kumquat or platform");
    }
    return name;
}

SharedRetryBudget readRetryBudget(JsonObject &settings, JsonProblems &problems)
{
    SharedRetryBudget budget;
    const Json::Value &value = settings.member("retryBudget");
    if (value.isNull()) {
        return budget;
    }
    JsonObject object(value, settings.pathOf("retryBudget"), problems);
    budget.ratio = object.limit("ratio", maxRetryRatio, budget.ratio);
    // A fraction of a retry is none.
    budget.slack = static_cast<int>(object.limit("slack", maxRetrySlack, budget.slack));
    budget.windowMs = static_cast<int>(object.integer("windowMs", 100, 600'000, budget.windowMs));
    object.reportUnknownMembers();
    return budget;
}

void readSeeds(JsonObject &object, ControlSettings &settings, JsonProblems &problems)
{
    settings.seeds = readAddresses(object, "seeds", problems);
    settings.firstStart = object.flag("firstStart", false);
    settings.toleratedLosses
        = static_cast<int>(object.integer("toleratedLosses", 0, 10, settings.toleratedLosses));
    settings.heartbeat
        = object.duration("heartbeat", Milliseconds(10), Milliseconds(600'000), settings.heartbeat);
    settings.clusterKeyFile = object.text("clusterKeyFile", "");
    if (settings.listenAddress.empty()) {
        problems.add("/listenAddress", "is missing", "name the address that this member serves");
    }
}

// The stop limit is what `stopWithin` leaves after the grace period, less the time that the
// process needs to exit.
void readStopWithin(JsonObject &object, EntrySettings &settings)
{
    constexpr Milliseconds exitMargin { 500 };
    if (object.isAbsent("stopWithin")) {
        return;
    }
    const Milliseconds within
        = object.duration("stopWithin", Milliseconds(0), Milliseconds(3'600'000), Milliseconds(0));
    if (within.count() > 0) {
        const Milliseconds remaining = within - Milliseconds(settings.stopGraceMs) - exitMargin;
        settings.stopLimitMs = static_cast<int>(std::max(Milliseconds(0), remaining).count());
    }
}

template <typename Settings>
absl::StatusOr<Settings> finishReading(Settings settings, JsonObject &object,
                                       const JsonProblems &problems)
{
    object.reportUnknownMembers();
    const absl::Status status = problems.status(ErrorKind::badSettings);
    if (!status.ok()) {
        return status;
    }
    return settings;
}

} // namespace

absl::StatusOr<EntrySettings> parseEntrySettings(const std::string &file, const std::string &text)
{
    const auto json = parseJson(file, text, ErrorKind::badSettings, JsonSyntax::withComments);
    if (!json.ok()) {
        return json.status();
    }
    JsonProblems problems(file);
    JsonObject object(*json, "", problems);
    EntrySettings settings;
    settings.name = object.text("name");
    settings.failureDomain = object.text("failureDomain");
    settings.dialect = readDialect(object, problems);
    settings.callerAddress = readAddress(object, "callerAddress", problems);
    settings.internalAddress = readAddress(object, "internalAddress", problems);
    settings.metricsAddress = readOptionalAddress(object, "metricsAddress", problems);
    if (object.member("controlSeeds").isNull()) {
        settings.gossipAddress = readAddress(object, "gossipAddress", problems);
        settings.gossipPeers = readAddresses(object, "gossipPeers", problems);
        settings.controlMembers = readAddresses(object, "controlMembers", problems);
        settings.clusterKeyFile = object.text("clusterKeyFile");
    } else {
        settings.controlSeeds = readAddresses(object, "controlSeeds", problems);
        settings.reportAddress = readOptionalAddress(object, "reportAddress", problems);
        settings.clusterKeyFile = object.text("clusterKeyFile", "");
    }
    settings.retryBudget = readRetryBudget(object, problems);
    settings.threads = static_cast<int>(object.integer("threads", 1, 64, settings.threads));
    settings.maxConnections
        = static_cast<int>(object.integer("maxConnections", 1, 100'000, settings.maxConnections));
    settings.memoryLimitMb
        = static_cast<int>(object.integer("memoryLimitMb", 32, 1'000'000, settings.memoryLimitMb));
    settings.linkMbps = object.limit("linkMbps", maxLinkMbps, settings.linkMbps);
    settings.stopGraceMs
        = static_cast<int>(object.integer("stopGraceMs", 0, 60'000, settings.stopGraceMs));
    settings.stopLimitMs
        = static_cast<int>(object.integer("stopLimitMs", 0, 3'600'000, settings.stopLimitMs));
    readStopWithin(object, settings);
    return finishReading(settings, object, problems);
}

absl::StatusOr<ControlSettings> parseControlSettings(const std::string &file,
                                                     const std::string &text)
{
    const auto json = parseJson(file, text, ErrorKind::badSettings, JsonSyntax::withComments);
    if (!json.ok()) {
        return json.status();
    }
    JsonProblems problems(file);
    JsonObject object(*json, "", problems);
    ControlSettings settings;
    settings.name = object.text("name");
    settings.failureDomain = object.text("failureDomain");
    settings.dataFolder = object.text("dataFolder");
    settings.dialect = readDialect(object, problems);
    settings.listenAddress = readOptionalAddress(object, "listenAddress", problems);
    settings.metricsAddress = readOptionalAddress(object, "metricsAddress", problems);
    const bool hasSeeds = !object.member("seeds").isNull();
    if (hasSeeds) {
        readSeeds(object, settings, problems);
    } else {
        settings.members = readMembers(object, problems);
        settings.clusterKeyFile = object.text("clusterKeyFile");
    }
    settings.maxOnceRecords = static_cast<int>(
        object.integer("maxOnceRecords", 1, 10'000'000, settings.maxOnceRecords));
    settings.onceRetentionSeconds = static_cast<int>(
        object.integer("onceRetentionSeconds", 60, 31'536'000, settings.onceRetentionSeconds));
    settings.snapshotEveryEntries = static_cast<int>(
        object.integer("snapshotEveryEntries", 10, 10'000'000, settings.snapshotEveryEntries));
    bool listsItself = hasSeeds;
    for (const ControlMember &member : settings.members) {
        listsItself = listsItself || member.name == settings.name;
    }
    if (!listsItself) {
        problems.add("/members", "does not list '" + settings.name + "'", "add this member itself");
    }
    return finishReading(settings, object, problems);
}

absl::StatusOr<EntrySettings> readEntrySettings(const std::string &file)
{
    const auto text = readFile(file);
    return text.ok() ? parseEntrySettings(file, *text)
                     : absl::StatusOr<EntrySettings>(text.status());
}

absl::StatusOr<ControlSettings> readControlSettings(const std::string &file)
{
    const auto text = readFile(file);
    return text.ok() ? parseControlSettings(file, *text)
                     : absl::StatusOr<ControlSettings>(text.status());
}

absl::StatusOr<std::string> readClusterKey(const std::string &file)
{
    if (file.empty()) {
        return std::string();
    }
    const auto text = readFile(file);
    if (!text.ok()) {
        return text.status();
    }
    std::string key(absl::StripAsciiWhitespace(*text));
    if (key.size() < minKeyBytes) {
        return makeError(ErrorKind::badSettings, file + " holds a key that is too short",
                         "write at least 16 random characters into it");
    }
    return key;
}

} // namespace kumquat
