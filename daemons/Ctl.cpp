// kumquatctl: the operators' command-line tool; it calls the control group over JSON-RPC.
#include "common/Explanation.h"
#include "common/JsonReader.h"
#include "common/Random.h"
#include "kumquat/Configuration.h"
#include "kumquat/Settings.h"
#include "protocol/PercentCode.h"
#include "protocol/Wire.h"
#include "state/ReplicatedConfiguration.h"
#include "transport/BlockingHttp.h"
#include "transport/JsonRpcCall.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(control, "127.0.0.1:7101", "addresses of the control members, separated by commas");
DEFINE_string(key, "", "the cluster key file");
DEFINE_string(id, "", "apply: the change's ID; use the same ID to send a change again");
DEFINE_int64(base, -1, "apply: the version that the change builds on; -1: the one in force");
DEFINE_bool(wait, false, "apply: wait until every entry has the version in force");
DEFINE_int32(wait_entries, 0, "apply --wait: the number of entries to wait for; 0: those seen");
DEFINE_bool(end, false, "evacuate: end the evacuation");
DEFINE_string(address, "", "dump, drain: the internal address of the process");

namespace {

using namespace kumquat;

constexpr Milliseconds callTimeout { 10'000 };
constexpr Milliseconds queryTimeout { 1'000 }; // a suspended member must not delay the others
constexpr Milliseconds leaderSearchTimeout { 10'000 };
constexpr Milliseconds evacuationTimeout { 2'000 }; // a forwarded order is confirmed within it
constexpr Milliseconds inForceTimeout { 15'000 };
constexpr Milliseconds pollInterval { 50 };

constexpr char usage[] = "operates kumquatdeal; usage: kumquatctl COMMAND [flags]\n"
                         "  form             make the named control member the first of a group\n"
                         "  status           show the control group and each entry's version\n"
                         "  check FOLDER     check a configuration folder, change nothing\n"
                         "  apply FOLDER     put the folder's configuration in force\n"
                         "  watch            print each new version in force\n"
                         "  dump             print the state of the process at --address\n"
                         "  drain NAME       drain a target, through the entry at --address\n"
                         "  evacuate DOMAIN  send nothing more to a failure domain's targets; "
                         "with --end, send to them again\n"
                         "  once show SERVICE KEY   show the record of an at-most-once request\n"
                         "  explain ID LOG...       explain what happened to a request, from the "
                         "logs of all processes";

int fail(const std::string &message)
{
    std::cerr << message << "\n";
    return 1;
}

std::vector<std::string> controlMembers()
{
    return absl::StrSplit(FLAGS_control, ',');
}

class ControlGroupClient
{
public:
    explicit ControlGroupClient(std::string key) : key_(std::move(key)) { }

    // Asks the members in turn until the leader answers.
    JsonRpcOutcome call(const std::string &method, const Json::Value &parameters)
    {
        const TimePoint end = Clock::now() + leaderSearchTimeout;
        JsonRpcOutcome outcome;
        while (true) {
            const std::vector<std::string> members = controlMembers();
            for (std::size_t attempt = 0; attempt < members.size(); ++attempt) {
                outcome
                    = callMember(members[preferredMember_ % members.size()], method, parameters);
                const bool tryNextMember = !outcome.ok
                    && (absl::StrContains(outcome.error, "not-leader") || outcome.error.empty()
                        || unreachable_);
                if (!tryNextMember) {
                    return outcome;
                }
                ++preferredMember_;
            }
            if (Clock::now() > end) {
                outcome.error = "no control member answered as leader (" + outcome.error
                    + "); remedy: see status of each member";
                return outcome;
            }
            std::this_thread::sleep_for(pollInterval);
        }
    }

    JsonRpcOutcome callMember(const std::string &member, const std::string &method,
                              const Json::Value &parameters)
    {
        const JsonRpcTransport transport = [this, &member, &method](const std::string &message) {
            return sendMessage(member, message, method == "apply" ? callTimeout : queryTimeout);
        };
        JsonRpcOutcome outcome = callJsonRpc(transport, method, writeJson(parameters));
        if (unreachable_) {
            outcome.error = member + " cannot be reached";
        }
        return outcome;
    }

private:
    std::string sendMessage(const std::string &member, const std::string &message,
                            Milliseconds timeout)
    {
        const auto address = parseAddress(member);
        if (!address.ok()) {
            unreachable_ = true;
            return "";
        }
        HttpRequest request(http::verb::post, wire::rpcPath, 11);
        request.body() = message;
        const auto response = blockingCall(*address, std::move(request),
                                           std::make_shared<Authenticator>(key_), timeout);
        unreachable_ = !response.ok() || response->result() != http::status::ok;
        return unreachable_ ? "" : response->body();
    }

    std::string key_;
    bool unreachable_ = false;
    std::size_t preferredMember_ = 0; ///< the member to ask first, modulo their number
};

/// The result of a call as JSON; fails when the call failed or its result cannot be read.
absl::StatusOr<Json::Value> resultOf(const JsonRpcOutcome &outcome)
{
    if (!outcome.ok) {
        return makeError(ErrorKind::unavailable, outcome.error, "see status of each member");
    }
    auto value = parseJson("answer", outcome.result, ErrorKind::badMessage);
    if (value.ok() && !value->isObject()) {
        return makeError(ErrorKind::badMessage, "the answer is not a JSON object",
                         "run the same version on every instance");
    }
    return value;
}

/// The member \p key of an answer; 0 when it is no number.
std::uint64_t numberIn(const Json::Value &answer, const char *key)
{
    const bool isNumber = answer.isObject() && answer[key].isUInt64();
    return isNumber ? answer[key].asUInt64() : 0;
}

std::string textIn(const Json::Value &answer, const char *key)
{
    const bool isText = answer.isObject() && answer[key].isString();
    return isText ? answer[key].asString() : "";
}

int printOutcome(const JsonRpcOutcome &outcome)
{
    if (!outcome.ok) {
        return fail(outcome.error);
    }
    const auto result = resultOf(outcome);
    if (!result.ok()) {
        return fail(std::string(result.status().message()));
    }
    std::cout << writeJson(*result, true) << "\n";
    return 0;
}

Json::Value makeChange(const std::vector<ConfigurationFile> &files, const Json::Value &current)
{
    Json::Value change;
    change["writes"] = Json::Value(Json::arrayValue);
    change["removals"] = Json::Value(Json::arrayValue);
    for (const ConfigurationFile &file : files) {
        Json::Value write;
        write["name"] = file.name;
        write["content"] = file.content;
        change["writes"].append(write);
    }
    for (const Json::Value &present : current["files"]) {
        bool kept = false;
        for (const ConfigurationFile &file : files) {
            kept = kept || file.name == textIn(present, "name");
        }
        if (!kept) {
            change["removals"].append(textIn(present, "name"));
        }
    }
    return change;
}

int waitUntilInForce(ControlGroupClient &client, std::uint64_t number)
{
    const TimePoint start = Clock::now();
    while (Clock::now() - start < inForceTimeout) {
        const JsonRpcOutcome current = client.call("current", Json::objectValue);
        int behindCount = 0;
        int entryCount = 0;
        for (const std::string &member : controlMembers()) {
            const auto status = resultOf(client.callMember(member, "status", Json::objectValue));
            if (!status.ok()) {
                continue;
            }
            for (const Json::Value &entry : (*status)["entries"]) {
                ++entryCount;
                behindCount += numberIn(entry, "number") < number ? 1 : 0;
            }
        }
        if (current.ok && entryCount > 0 && behindCount == 0 && entryCount >= FLAGS_wait_entries) {
            std::cout << "in force on " << entryCount << " entries after "
                      << static_cast<int>(toMilliseconds(Clock::now() - start)) << " ms\n";
            return 0;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return fail("not in force on every entry yet; remedy: see status for entries that lag behind");
}

/// Reads the folder and checks the bytes of its files here: a message to the group cannot carry
/// bytes that are not text.
absl::StatusOr<std::vector<ConfigurationFile>> readCheckedFolder(const std::string &folder)
{
    auto files = readConfigurationFolder(folder);
    if (!files.ok()) {
        return files;
    }
    std::vector<FileWrite> writes;
    for (const ConfigurationFile &file : *files) {
        writes.push_back({ file.name, file.content });
    }
    const absl::Status checked = checkWrites(writes);
    if (!checked.ok()) {
        return checked;
    }
    return files;
}

int apply(ControlGroupClient &client, const std::string &folder)
{
    const auto files = readCheckedFolder(folder);
    if (!files.ok()) {
        return fail(std::string(files.status().message()));
    }
    const auto present = resultOf(client.call("current", Json::objectValue));
    if (!present.ok()) {
        return fail(std::string(present.status().message()));
    }
    Random random(randomSeed());
    Json::Value change = makeChange(*files, *present);
    change["id"] = FLAGS_id.empty() ? absl::StrCat(absl::Hex(random())) : FLAGS_id;
    change["base"] = FLAGS_base >= 0 ? Json::Value(Json::Int64(FLAGS_base)) : (*present)["number"];
    const JsonRpcOutcome outcome = client.call("apply", change);
    if (printOutcome(outcome) != 0) {
        return 1;
    }
    const auto result = resultOf(outcome);
    if (textIn(*result, "verdict") != "accepted") {
        return 2;
    }
    return FLAGS_wait ? waitUntilInForce(client, numberIn(*result, "number")) : 0;
}

int check(ControlGroupClient &client, const std::string &folder)
{
    const auto files = readCheckedFolder(folder);
    const auto parsed
        = files.ok() ? parseConfiguration(*files) : absl::StatusOr<Configuration>(files.status());
    if (!parsed.ok()) {
        return fail(std::string(parsed.status().message()));
    }
    std::cout << "well-formed: " << parsed->services.size() << " services\n";
    const auto present = resultOf(client.call("current", Json::objectValue));
    if (!present.ok()) {
        std::cout << "not compared with the version in force: " << present.status().message()
                  << "\n";
        return 0;
    }
    return printOutcome(client.call("check", makeChange(*files, *present)));
}

int watch(ControlGroupClient &client)
{
    std::uint64_t last = 0;
    while (true) {
        const auto current = resultOf(client.call("current", Json::objectValue));
        if (current.ok() && numberIn(*current, "number") != last) {
            last = numberIn(*current, "number");
            std::cout << "version " << last << ", " << (*current)["files"].size() << " files"
                      << std::endl;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

int callProcess(http::verb verb, const std::string &path, const std::string &body)
{
    const auto address = parseAddress(FLAGS_address);
    if (!address.ok()) {
        return fail(std::string(address.status().message()));
    }
    HttpRequest request(verb, path, 11);
    request.body() = body;
    const auto response = blockingCall(*address, std::move(request), nullptr, callTimeout);
    if (!response.ok()) {
        return fail(std::string(response.status().message()));
    }
    std::cout << response->body();
    return response->result() == http::status::ok ? 0 : 1;
}

// Any member takes the order and forwards it to the leader, so the members are asked in turn.
int evacuate(const std::string &failureDomain)
{
    const http::verb verb = FLAGS_end ? http::verb::delete_ : http::verb::put;
    const std::string path = wire::evacuationsPath + encodePercent(failureDomain);
    const TimePoint end = Clock::now() + leaderSearchTimeout;
    std::string error;
    do {
        for (const std::string &member : controlMembers()) {
            const auto address = parseAddress(member);
            if (!address.ok()) {
                return fail(std::string(address.status().message()));
            }
            const auto response
                = blockingCall(*address, HttpRequest(verb, path, 11), nullptr, evacuationTimeout);
            error = response.ok() ? response->body() : std::string(response.status().message());
            const bool mayPass
                = !response.ok() || response->result() == http::status::service_unavailable;
            if (!mayPass) {
                std::cout << error;
                return response->result() == http::status::ok ? 0 : 1;
            }
        }
        std::this_thread::sleep_for(pollInterval);
    } while (Clock::now() < end);
    return fail("no control member confirmed the order (" + error
                + "); remedy: see status of each member");
}

int explain(const std::string &request, const std::vector<std::string> &files)
{
    std::vector<std::string> lines;
    for (const std::string &file : files) {
        std::ifstream stream(file);
        if (!stream) {
            return fail("cannot read " + file + "; remedy: name readable log files");
        }
        for (std::string line; std::getline(stream, line);) {
            lines.push_back(std::move(line));
        }
    }
    const Explanation explanation = explainRequest(parseLogRecords(lines), request);
    std::cout << explanationText(explanation);
    return explanation.found ? 0 : 1;
}

int runCommand(const std::vector<std::string> &arguments, ControlGroupClient &client)
{
    const std::string &command = arguments[0];
    const std::string first = arguments.size() > 1 ? arguments[1] : "";
    if (command == "form") {
        return printOutcome(client.callMember(FLAGS_control, "form", Json::objectValue));
    }
    if (command == "status") {
        int result = 0;
        for (const std::string &member : controlMembers()) {
            result |= printOutcome(client.callMember(member, "status", Json::objectValue));
        }
        return result;
    }
    if (command == "check" && !first.empty()) {
        return check(client, first);
    }
    if (command == "apply" && !first.empty()) {
        return apply(client, first);
    }
    if (command == "watch") {
        return watch(client);
    }
    if (command == "dump") {
        return callProcess(http::verb::get, wire::dumpPath, "");
    }
    if (command == "drain" && !first.empty()) {
        return callProcess(http::verb::post, std::string(wire::targetsPath) + first + "/drain", "");
    }
    if (command == "evacuate" && !first.empty()) {
        return evacuate(first);
    }
    if (command == "once" && first == "show" && arguments.size() == 4) {
        Json::Value parameters;
        parameters["service"] = arguments[2];
        parameters["key"] = arguments[3];
        return printOutcome(client.call("onceShow", parameters));
    }
    if (command == "explain" && arguments.size() > 2) {
        return explain(first, { arguments.begin() + 2, arguments.end() });
    }
    return fail(usage);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(KUMQUAT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        return fail(usage);
    }
    std::string key;
    if (!FLAGS_key.empty()) {
        const auto read = readClusterKey(FLAGS_key);
        if (!read.ok()) {
            return fail(std::string(read.status().message()));
        }
        key = *read;
    }
    ControlGroupClient client(key);
    return runCommand(arguments, client);
}
