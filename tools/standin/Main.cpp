// kumquat-standin: runs many stand-in targets in one process, for tests and measurements only.
// It announces each target to the entries and renews its lease; faults are injected through an
// HTTP admin port.
#include "StandinTarget.h"
#include "common/JsonReader.h"
#include "common/Program.h"
#include "kumquat/Event.h"
#include "platform/Target.h"
#include "protocol/Announcement.h"
#include "protocol/Wire.h"
#include "transport/HttpClient.h"
#include "transport/Spawn.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(services, "catalogue:20:2,orders:10:2,drawings:6:2",
              "services as NAME:TARGETS:SLOTS, comma-separated");
DEFINE_string(entries, "", "addresses that accept announcements, comma-separated");
DEFINE_bool(platform, false, "use the message formats of the platform's targets");
DEFINE_string(domains, "a,b,c",
              "failure domains of the targets, comma-separated, assigned in turn");
DEFINE_int32(first_port, 20000, "port of the first target");
DEFINE_string(admin, "127.0.0.1:19999", "address of the admin port");
DEFINE_double(work_ms, 10, "mean service time in milliseconds, exponentially distributed");
DEFINE_int32(lease_ms, 5000, "lease in milliseconds that the targets announce");
DEFINE_uint64(seed, 1, "seed of the random numbers");

namespace {

using namespace kumquat;
using namespace kumquat::standin;

constexpr Milliseconds announceTimeout { 1'000 };

class Fleet
{
public:
    explicit Fleet(asio::io_context &context) : context_(context), client_(context, nullptr) { }

    absl::Status startTargets();
    void startAnnouncing();
    HttpResponse handle(const HttpRequest &request, Yield yield);

private:
    absl::Status addTarget(const std::string &service, int number, int slots);
    void announceRepeatedly(StandinTarget &target, std::size_t firstEntry, Yield yield);
    bool announce(StandinTarget &target, std::size_t entry, Yield yield);
    HttpResponse changeBehaviour(const std::string &name, const Json::Value &changes);
    HttpResponse drain(const std::string &name, Yield yield);
    Json::Value report() const;

    asio::io_context &context_;
    HttpClient client_;
    std::vector<Address> entries_;
    std::vector<std::unique_ptr<StandinTarget>> targets_;
    ExecutionRecord executions_;
};

absl::Status Fleet::addTarget(const std::string &service, int number, int slots)
{
    const std::vector<std::string> domains = absl::StrSplit(FLAGS_domains, ',');
    TargetRecord record;
    record.name = absl::StrCat(service, "-", number);
    record.service = service;
    record.failureDomain = domains[static_cast<std::size_t>(number) % domains.size()];
    record.ip = "127.0.0.1";
    record.port = static_cast<std::uint16_t>(FLAGS_first_port + static_cast<int>(targets_.size()));
    record.incarnation = static_cast<std::uint64_t>(wallTime().count());
    record.state = TargetState::ready;
    record.slots = slots;
    record.leaseMs = FLAGS_lease_ms;
    Behaviour behaviour;
    behaviour.meanWorkMs = FLAGS_work_ms;
    targets_.push_back(std::make_unique<StandinTarget>(context_, record, behaviour, executions_,
                                                       FLAGS_seed + targets_.size()));
    if (FLAGS_platform) {
        targets_.back()->usePlatformProtocol();
    }
    return targets_.back()->listen();
}

absl::Status Fleet::startTargets()
{
    for (const auto text : absl::StrSplit(FLAGS_entries, ',', absl::SkipEmpty())) {
        const auto address = parseAddress(std::string(text));
        if (!address.ok()) {
            return address.status();
        }
        entries_.push_back(*address);
    }
    for (const auto text : absl::StrSplit(FLAGS_services, ',')) {
        const std::vector<std::string> parts = absl::StrSplit(text, ':');
        int count = 0;
        int slots = 0;
        if (parts.size() != 3 || !absl::SimpleAtoi(parts[1], &count)
            || !absl::SimpleAtoi(parts[2], &slots)) {
            return makeError(ErrorKind::badSettings,
                             "invalid item in --services: '" + std::string(text) + "'",
                             "write NAME:TARGETS:SLOTS");
        }
        for (int number = 0; number < count; ++number) {
            const absl::Status added = addTarget(parts[0], number, slots);
            if (!added.ok()) {
                return added;
            }
        }
    }
    return absl::OkStatus();
}

bool Fleet::announce(StandinTarget &target, std::size_t entry, Yield yield)
{
    ++target.record().version;
    HttpRequest request(http::verb::put, wire::targetsPath + target.record().name, 11);
    request.body() = FLAGS_platform ? platform::writeHeartbeat(target.record())
                                    : writeAnnouncement(target.record());
    const auto answer = client_.send(entries_[entry % entries_.size()], std::move(request),
                                     announceTimeout, yield);
    return answer.ok() && answer->result() == http::status::ok;
}

void Fleet::announceRepeatedly(StandinTarget &target, std::size_t firstEntry, Yield yield)
{
    constexpr Milliseconds retryDelay { 200 };
    for (std::size_t entry = firstEntry;; ++entry) {
        const bool accepted = announce(target, entry, yield);
        pauseFor(context_, accepted ? Milliseconds(FLAGS_lease_ms / 3) : retryDelay, yield);
    }
}

void Fleet::startAnnouncing()
{
    if (entries_.empty()) {
        return;
    }
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        spawnOn(context_, [this, i](Yield yield) { announceRepeatedly(*targets_[i], i, yield); });
    }
}

Json::Value writeTimes(const std::deque<Milliseconds> &times)
{
    Json::Value value(Json::arrayValue);
    for (const Milliseconds time : times) {
        value.append(Json::Int64(time.count()));
    }
    return value;
}

Json::Value Fleet::report() const
{
    Json::Value value;
    for (const auto &target : targets_) {
        Json::Value item;
        item["inFlight"] = target->inFlight();
        item["peak"] = target->peakInFlight();
        item["served"] = Json::UInt64(target->served());
        item["sheds"] = Json::UInt64(target->sheds());
        item["probes"] = Json::UInt64(target->probes());
        item["crashes"] = Json::UInt64(target->crashes());
        item["arrivals"] = writeTimes(target->arrivals());
        item["probeArrivals"] = writeTimes(target->probeArrivals());
        value["targets"][target->record().name] = item;
    }
    value["runs"] = Json::Value(Json::objectValue);
    for (const auto &run : executions_.runs) {
        value["runs"][run.first] = run.second;
    }
    value["uploads"] = Json::Value(Json::objectValue);
    for (const auto &upload : executions_.uploads) {
        value["uploads"][upload.first] = Json::UInt64(upload.second);
    }
    return value;
}

// Applies the changes to every target whose name begins with `name`.
HttpResponse Fleet::changeBehaviour(const std::string &name, const Json::Value &changes)
{
    int changed = 0;
    for (const auto &target : targets_) {
        if (target->record().name.rfind(name, 0) != 0) {
            continue;
        }
        const absl::Status status = applyChanges(target->behaviour(), changes);
        if (!status.ok()) {
            return textResponse(http::status::bad_request, std::string(status.message()));
        }
        if (target->behaviour().silent) {
            target->silenceOpenConnections();
            target->behaviour().silent = false;
        }
        ++changed;
    }
    return textResponse(http::status::ok, absl::StrCat("{\"changed\":", changed, "}\n"));
}

HttpResponse Fleet::drain(const std::string &name, Yield yield)
{
    for (const auto &target : targets_) {
        if (target->record().name == name) {
            target->record().state = TargetState::draining;
            for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
                if (announce(*target, entry, yield)) {
                    return textResponse(http::status::ok, "{}\n");
                }
            }
        }
    }
    return textResponse(http::status::not_found, "{}\n");
}

HttpResponse Fleet::handle(const HttpRequest &request, Yield yield)
{
    const std::vector<std::string> parts
        = absl::StrSplit(std::string(request.target()), '/', absl::SkipEmpty());
    if (parts.size() == 1 && parts[0] == "report") {
        return textResponse(http::status::ok, writeJson(report()));
    }
    if (parts.size() == 2 && parts[0] == "drain") {
        return drain(parts[1], yield);
    }
    if (parts.size() == 2 && parts[0] == "behaviour") {
        const auto changes = parseJson("behaviour", request.body(), ErrorKind::badMessage);
        return changes.ok()
            ? changeBehaviour(parts[1], *changes)
            : textResponse(http::status::bad_request, "the body is not valid JSON\n");
    }
    return textResponse(http::status::not_found,
                        "unknown path; use /report, /behaviour/NAME or /drain/NAME\n");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs stand-in targets for tests and measurements");
    gflags::SetVersionString(KUMQUAT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    startProgram("standin");
    asio::io_context context { 1 };
    Fleet fleet(context);
    const absl::Status started = fleet.startTargets();
    if (!started.ok()) {
        return reportFatalError(started);
    }
    const auto admin
        = std::make_shared<HttpServer>(context, [&fleet](const HttpRequest &request, Yield yield) {
              return fleet.handle(request, yield);
          });
    const auto address = parseAddress(FLAGS_admin);
    const absl::Status listening = address.ok() ? admin->listen(*address) : address.status();
    if (!listening.ok()) {
        return reportFatalError(listening);
    }
    fleet.startAnnouncing();
    onStopSignal([&context] { context.stop(); });
    context.run();
    stopLogging();
    return 0;
}
