// The part of ControlServer for operators: the JSON-RPC methods, the status and the metrics.
#include "coordination/control/ControlServer.h"

#include "common/JsonReader.h"
#include "common/MetricsPage.h"
#include "kumquat/Event.h"
#include "transport/Spawn.h"

#include <absl/strings/str_cat.h>
#include <future>

namespace kumquat {

namespace {

constexpr Milliseconds changeCommitTimeout { 5'000 };
constexpr Milliseconds entryReportLifetime { 5'000 };
constexpr Seconds loopReplyTimeout { 8 };

ConfigurationChange parseChange(const Json::Value &parameters)
{
    JsonProblems problems("request");
    JsonObject object(parameters, "", problems);
    ConfigurationChange change;
    change.id = object.text("id", "check");
    change.base = static_cast<std::uint64_t>(
        object.integer("base", 0, std::numeric_limits<std::int64_t>::max(), 0));
    change.removals = object.texts("removals", false);
    const Json::Value &writes = object.member("writes");
    for (Json::ArrayIndex i = 0; writes.isArray() && i < writes.size(); ++i) {
        JsonObject write(writes[i], absl::StrCat("/writes/", i), problems);
        const std::string name = write.text("name");
        change.writes.push_back({ name, write.text("content") });
        write.reportUnknownMembers();
    }
    object.reportUnknownMembers();
    absl::Status status = problems.status(ErrorKind::badMessage);
    status.Update(checkWrites(change.writes));
    if (!status.ok()) {
        throw RpcError { std::string(status.message()) };
    }
    return change;
}

template <typename Value>
Value waitFor(std::future<Value> &future)
{
    if (future.wait_for(loopReplyTimeout) != std::future_status::ready) {
        throw RpcError { "no response from the group in time; remedy: check the status, then "
                         "send the request again with the same ID" };
    }
    return future.get();
}

} // namespace

Json::Value ControlServer::runOnLoop(const std::function<Json::Value()> &function)
{
    auto promise = std::make_shared<std::promise<Json::Value>>();
    auto future = promise->get_future();
    asio::post(loop_, [promise, function] { contain([&] { promise->set_value(function()); }); });
    return waitFor(future);
}

void ControlServer::requireLeadership()
{
    auto promise = std::make_shared<std::promise<bool>>();
    auto future = promise->get_future();
    asio::post(loop_, [this, promise] {
        node_->confirmRead([promise](bool isLeader) { promise->set_value(isLeader); });
    });
    if (!waitFor(future)) {
        const std::string leader
            = runOnLoop([this] { return Json::Value(node_->raft().leaderAddress()); }).asString();
        throw RpcError { "not-leader " + leader };
    }
}

Json::Value ControlServer::rpcForm(const Json::Value &)
{
    auto promise = std::make_shared<std::promise<absl::Status>>();
    auto future = promise->get_future();
    asio::post(loop_, [this, promise] {
        node_->formGroup([promise](const absl::Status &status) { promise->set_value(status); });
    });
    const absl::Status formed = waitFor(future);
    Json::Value result;
    result["formed"] = formed.ok();
    result["message"] = std::string(formed.message());
    return result;
}

Json::Value ControlServer::rpcStatus(const Json::Value &)
{
    return runOnLoop([this] { return status(); });
}

Json::Value ControlServer::rpcCurrent(const Json::Value &)
{
    requireLeadership();
    return runOnLoop([this] {
        Json::Value result;
        const ReplicatedConfiguration &configuration = node_->state().configuration();
        result["epoch"] = Json::UInt64(node_->raft().epoch());
        result["number"] = Json::UInt64(configuration.number());
        result["files"] = Json::Value(Json::arrayValue);
        for (const FileWrite &file : configuration.files()) {
            Json::Value value;
            value["name"] = file.name;
            value["content"] = file.content;
            result["files"].append(value);
        }
        return result;
    });
}

Json::Value ControlServer::rpcCheck(const Json::Value &parameters)
{
    const ConfigurationChange change = parseChange(parameters);
    requireLeadership();
    return runOnLoop([this, change] {
        const absl::Status status
            = checkFiles(filesAfter(node_->state().configuration().files(), change));
        Json::Value result;
        result["ok"] = status.ok();
        result["message"] = std::string(status.message());
        return result;
    });
}

Json::Value ControlServer::rpcApply(const Json::Value &parameters)
{
    ControlCommand command;
    command.change = parseChange(parameters);
    requireLeadership();
    auto promise = std::make_shared<std::promise<absl::StatusOr<ControlResult>>>();
    auto future = promise->get_future();
    asio::post(loop_, [this, promise, command] {
        spawnOn(loop_, [this, promise, command](Yield yield) {
            promise->set_value(propose(command, changeCommitTimeout, yield));
        });
    });
    const absl::StatusOr<ControlResult> result = waitFor(future);
    if (!result.ok()) {
        throw RpcError { std::string(result.status().message()) };
    }
    static const char *const verdicts[] = { "accepted", "conflict", "refused" };
    Json::Value value;
    value["verdict"] = verdicts[static_cast<int>(result->change.status)];
    value["number"] = Json::UInt64(result->change.number);
    value["message"] = result->change.message;
    if (result->change.status == ChangeStatus::accepted) {
        logEvent(Event::configurationAccepted, LogLevel::info, "number={} id={}",
                 result->change.number, command.change.id);
    }
    return value;
}

Json::Value ControlServer::rpcOnceShow(const Json::Value &parameters)
{
    JsonProblems problems("request");
    JsonObject object(parameters, "", problems);
    const OnceKey scope { object.text("service"), object.text("key") };
    if (!problems.empty()) {
        throw RpcError { std::string(problems.status(ErrorKind::badMessage).message()) };
    }
    requireLeadership();
    return runOnLoop([this, scope] {
        Json::Value value;
        const OnceRecord *record = node_->state().once().find(scope);
        value["found"] = record != nullptr;
        if (record != nullptr) {
            value["phase"] = oncePhaseName(record->phase);
            value["claimedAtMs"] = Json::Int64(record->claimedAtMs);
            value["status"] = record->response.status;
        }
        return value;
    });
}

Json::Value ControlServer::status() const
{
    const Raft &raft = node_->raft();
    Json::Value value;
    value["name"] = settings_.name;
    value["failureDomain"] = settings_.failureDomain;
    value["role"] = raft.epoch() == 0 ? "no-group" : raftRoleName(raft.role());
    value["voter"] = node_->isVoter();
    value["epoch"] = Json::UInt64(raft.epoch());
    value["term"] = Json::UInt64(raft.term());
    value["leader"] = raft.leaderAddress();
    value["lastIndex"] = Json::UInt64(raft.log().lastIndex());
    value["committed"] = Json::UInt64(raft.commitIndex());
    value["snapshotIndex"] = Json::UInt64(raft.log().snapshot().index);
    value["configurationNumber"] = Json::UInt64(node_->state().configuration().number());
    const Evacuations &evacuations = node_->state().evacuations();
    value["evacuations"]["number"] = Json::UInt64(evacuations.number());
    value["evacuations"]["failureDomains"] = Json::Value(Json::arrayValue);
    for (const std::string &failureDomain : evacuations.failureDomains()) {
        value["evacuations"]["failureDomains"].append(failureDomain);
    }
    value["onceRecords"] = Json::UInt64(node_->state().once().size());
    value["voters"] = Json::UInt64(raft.voterCount());
    value["votersWanted"] = Json::UInt64(node_->wantedVoters());
    value["lacksVoters"] = node_->lacksVoters();
    value["settingsRejected"] = settingsRejected_;
    value["members"] = Json::Value(Json::arrayValue);
    for (const GroupMember &member : raft.members()) {
        Json::Value item;
        item["name"] = member.name;
        item["address"] = member.address;
        item["voter"] = member.voter;
        value["members"].append(item);
    }
    value["entries"] = Json::Value(Json::arrayValue);
    const TimePoint now = Clock::now();
    for (const auto &entry : entryReports_) {
        if (raft.isLeader() && now - entry.second.reportedAt < entryReportLifetime) {
            Json::Value item;
            item["name"] = entry.first;
            item["number"] = Json::UInt64(entry.second.number);
            value["entries"].append(item);
        }
    }
    return value;
}

std::string ControlServer::metrics() const
{
    const Raft &raft = node_->raft();
    MetricsPage page;
    page.gauge("control_leads", {}, raft.isLeader() ? 1 : 0);
    page.gauge("control_term", {}, static_cast<double>(raft.term()));
    page.gauge("settings_rejected", {}, settingsRejected_ ? 1 : 0);
    page.gauge("control_voters", {}, static_cast<double>(raft.voterCount()));
    page.gauge("control_voters_wanted", {}, static_cast<double>(node_->wantedVoters()));
    page.gauge("control_committed", {}, static_cast<double>(raft.commitIndex()));
    page.counter("control_syncs_total", {}, static_cast<double>(node_->store().syncs()));
    page.counter("control_log_bytes_total", {}, static_cast<double>(node_->store().bytesWritten()));
    page.gauge("control_log_disk_bytes", {}, static_cast<double>(node_->store().logBytes()));
    page.gauge("control_log_memory_bytes", {}, static_cast<double>(raft.log().bytesAfter(0)));
    page.gauge("control_snapshot_bytes", {},
               static_cast<double>(raft.log().snapshot().data.size()));
    page.gauge("control_snapshot_index", {}, static_cast<double>(raft.log().snapshot().index));
    page.gauge("control_load_bytes", {}, static_cast<double>(node_->store().loadedBytes()));
    page.gauge("control_load_seconds", {},
               std::chrono::duration<double>(node_->loadTime()).count());
    const SnapshotCounts &snapshots = raft.snapshotCounts();
    page.counter("control_snapshots_sent_total", {}, static_cast<double>(snapshots.sent));
    page.counter("control_snapshot_sent_bytes_total", {}, static_cast<double>(snapshots.sentBytes));
    page.counter("control_snapshots_installed_total", {}, static_cast<double>(snapshots.installed));
    page.counter("control_peer_bytes_total", {}, static_cast<double>(peerLinks_->sentBytes()));
    page.counter("control_files_served_total", {}, static_cast<double>(filesServed_));
    page.counter("control_once_calls_total", {}, static_cast<double>(onceCalls_));
    const HttpServerCounters &server = server_->counters();
    page.counter("control_requests_malformed_total", {},
                 static_cast<double>(server.malformedRequests));
    page.counter("control_requests_oversized_total", {},
                 static_cast<double>(server.oversizedRequests));
    page.counter("control_handler_failures_total", {}, static_cast<double>(server.handlerFailures));
    page.counter("exceptions_contained_total", {}, static_cast<double>(reportedExceptions()));
    page.counter("control_evacuation_orders_total", {}, static_cast<double>(evacuationOrders_));
    page.gauge("control_evacuated_domains", {},
               static_cast<double>(node_->state().evacuations().failureDomains().size()));
    page.gauge("control_once_records", {}, static_cast<double>(node_->state().once().size()));
    if (registry_) {
        const TargetCache &cache = registry_->cache();
        page.counter("control_target_syncs_total", {}, static_cast<double>(cache.syncs()));
        page.counter("control_target_bytes_total", {}, static_cast<double>(cache.bytesWritten()));
    }
    return page.text();
}

absl::Status ControlServer::openMetrics()
{
    if (settings_.metricsAddress.empty()) {
        return absl::OkStatus();
    }
    metricsServer_ = std::make_shared<HttpServer>(loop_, [this](const HttpRequest &, Yield) {
        return textResponse(http::status::ok, metrics(), metricsContentType);
    });
    return metricsServer_->listen(*parseAddress(settings_.metricsAddress));
}

} // namespace kumquat
