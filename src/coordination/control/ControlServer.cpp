#include "coordination/control/ControlServer.h"

#include "common/JsonReader.h"
#include "common/MetricsPage.h"
#include "coordination/control/ControlClient.h"
#include "kumquat/Error.h"
#include "kumquat/Event.h"
#include "protocol/Codec.h"
#include "protocol/Wire.h"
#include "transport/Spawn.h"

namespace kumquat {

namespace {

constexpr Milliseconds tickInterval { 20 };
constexpr Milliseconds onceCommitTimeout { 2'000 };
constexpr Milliseconds leadershipTransferTime { 300 };
/// What a member that stops has under way ends by itself within this time.
constexpr Milliseconds stopLimit { 2'500 };
constexpr Milliseconds stopCheckInterval { 10 };
constexpr Milliseconds maxPollWait { 5'000 };
constexpr char leaderHeader[] = "Kumquat-Leader";

/// More than any dialect takes, so that the dialect says what is wrong with an announcement.
constexpr std::size_t maxAnnouncementBodyBytes = 1024 * 1024;
constexpr std::size_t maxDocumentBytes = 8 * 1024 * 1024;
constexpr std::size_t maxInternalBytes = 48 * 1024 * 1024; ///< replicated entries, several together

BodyLimit bodyLimitOf(const http::request_header<> &header)
{
    const auto target = header.target();
    const std::string path(target.data(), target.size());
    if (path.rfind(wire::targetsPath, 0) == 0) {
        return { maxAnnouncementBodyBytes, false };
    }
    if (path == wire::documentPath || path == wire::rpcPath) {
        return { maxDocumentBytes, false };
    }
    const bool isInternal = path == wire::raftPath || path == wire::feedPath
        || path == wire::filesPath || path == wire::oncePath || path == wire::configurationPath;
    return isInternal ? BodyLimit { maxInternalBytes, true } : BodyLimit();
}

bool isPoll(const http::request_header<> &header)
{
    return header.target() == wire::feedPath || header.target() == wire::configurationPath;
}

HttpResponse msgpackResponse(std::string body)
{
    return textResponse(http::status::ok, std::move(body), "application/msgpack");
}

HttpResponse badRequest(const absl::Status &status)
{
    return textResponse(http::status::bad_request, std::string(status.message()) + "\n",
                        "text/plain");
}

} // namespace

ControlServer::ControlServer(ControlSettings settings, const std::string &settingsFile,
                             const std::string &key, const Dialect &dialect)
    : settings_(std::move(settings)), settingsWatch_(settingsFile),
      authenticator_(key.empty() ? nullptr : std::make_shared<Authenticator>(key)),
      dialect_(dialect), leaderClient_(loop_, authenticator_)
{
    HttpServerLimits limits;
    limits.body = bodyLimitOf;
    limits.isPoll = isPoll;
    server_ = std::make_shared<HttpServer>(
        loop_, [this](const HttpRequest &request, Yield yield) { return handle(request, yield); },
        limits);
    peerLinks_ = std::make_unique<PeerLinks>(loop_, authenticator_);
    ControlRpcHooks methods;
    methods.form = [this](const Json::Value &in) { return rpcForm(in); };
    methods.status = [this](const Json::Value &in) { return rpcStatus(in); };
    methods.current = [this](const Json::Value &in) { return rpcCurrent(in); };
    methods.check = [this](const Json::Value &in) { return rpcCheck(in); };
    methods.apply = [this](const Json::Value &in) { return rpcApply(in); };
    methods.onceShow = [this](const Json::Value &in) { return rpcOnceShow(in); };
    rpc_ = std::make_unique<ControlRpc>(std::move(methods));
}

absl::Status ControlServer::open()
{
    GroupNodeOptions options;
    options.name = settings_.name;
    options.seed = randomSeed();
    options.snapshotEveryEntries = static_cast<std::uint64_t>(settings_.snapshotEveryEntries);
    options.maxOnceRecords = static_cast<std::uint64_t>(settings_.maxOnceRecords);
    options.onceRetention = Seconds(settings_.onceRetentionSeconds);
    for (const ControlMember &member : settings_.members) {
        if (member.name == settings_.name) {
            options.address = member.address;
        } else {
            options.peerAddresses.push_back(member.address);
        }
    }
    if (!settings_.seeds.empty()) {
        // Members are named by their address, which stays the same when a disk is replaced.
        options.name = settings_.listenAddress;
        options.address = settings_.listenAddress;
        options.peerAddresses = settings_.seeds;
        options.initialMembers
            = settings_.firstStart ? settings_.seeds : std::vector<std::string>();
        options.raft.maxVoters = 2 * static_cast<std::size_t>(settings_.toleratedLosses) + 1;
    }
    options.failureDomain = settings_.failureDomain;
    address_ = *parseAddress(settings_.listenAddress.empty() ? options.address
                                                             : settings_.listenAddress);
    GroupNodeHooks hooks;
    hooks.now = Clock::now;
    hooks.wallNow = wallTime;
    hooks.send = [this](const std::string &to, const RaftMessage &message) {
        peerLinks_->send(to, message);
    };
    hooks.stateChanged = [this] {
        for (Timer *poll : waitingPolls_) {
            poll->cancel();
        }
        if (registry_) {
            registry_->wakeWaitingPolls();
        }
    };
    hooks.storeFailed
        = [](const absl::Status &status) { KUMQUAT_ASSERT(false, std::string(status.message())); };
    hooks.runDiskWork
        = [this](std::function<absl::Status()> work, std::function<void(absl::Status)> done) {
              runDiskWork(std::move(work), std::move(done));
          };
    Disk disk;
    absl::Status status = openFolder(settings_.dataFolder, disk);
    if (status.ok()) {
        disk_ = disk;
        node_ = std::make_unique<GroupNode>(std::move(options), std::move(disk), std::move(hooks));
        status = node_->start();
    }
    if (status.ok() && !settings_.seeds.empty()) {
        openFeed();
        registry_->loadTargets();
    }
    status.Update(openMetrics());
    return status.ok() ? server_->listen(address_) : status;
}

void ControlServer::run()
{
    const auto diskWork = asio::make_work_guard(diskLoop_);
    const auto rpcWork = asio::make_work_guard(rpcLoop_);
    std::thread diskThread([this] { diskLoop_.run(); });
    std::thread rpcThread([this] { runLoop(rpcLoop_); });
    spawnOn(
        loop_, [this](Yield yield) { tickPeriodically(yield); },
        [] { KUMQUAT_ASSERT(false, "the ticks ended; event 500 above says why"); });
    // A member whose state is half changed must not take part: an exception in its ticks or in what
    // follows its disk's work ends the process.
    loop_.run();
    rpcLoop_.stop();
    rpcThread.join();
    diskLoop_.stop();
    diskThread.join();
}

void ControlServer::stop()
{
    asio::post(loop_, [this] { node_->transferLeadership(); });
    asio::post(loop_, [this] {
        spawnOn(loop_, [this](Yield yield) {
            pauseFor(loop_, leadershipTransferTime, yield);
            awaitAnswers(yield);
            server_->stop();
            awaitAnswers(yield);
            loop_.stop();
        });
    });
}

// Other members' messages are still received, since what is under way needs a majority.
void ControlServer::awaitAnswers(Yield yield)
{
    refusesChanges_ = true;
    const TimePoint end = Clock::now() + stopLimit;
    do {
        pauseFor(loop_, stopCheckInterval, yield);
    } while (server_->unanswered() > 0 && Clock::now() < end);
}

void ControlServer::tickPeriodically(Yield yield)
{
    while (true) {
        pauseFor(loop_, tickInterval, yield);
        node_->tick();
        if (registry_) {
            registry_->tick();
            node_->setPeers(feed_->addresses());
            reloadSettings();
        }
    }
}

void ControlServer::runDiskWork(std::function<absl::Status()> work,
                                std::function<void(absl::Status)> done)
{
    asio::post(diskLoop_, [this, work = std::move(work), done = std::move(done)] {
        const absl::Status status = work();
        asio::post(loop_, [done, status] { done(status); });
    });
}

HttpResponse ControlServer::notLeaderResponse() const
{
    HttpResponse response
        = textResponse(http::status::misdirected_request, "not the leader\n", "text/plain");
    response.set(leaderHeader, node_->raft().leaderAddress());
    return response;
}

HttpResponse ControlServer::handle(const HttpRequest &request, Yield yield)
{
    const std::string path(request.target());
    if (request.method() == http::verb::get && path == wire::dumpPath) {
        return textResponse(http::status::ok, writeJson(status(), true) + "\n");
    }
    if (request.method() == http::verb::get && path == wire::metricsPath) {
        return textResponse(http::status::ok, metrics(), metricsContentType);
    }
    const bool isRead = request.method() == http::verb::get;
    const bool isTarget = path.rfind(wire::targetsPath, 0) == 0;
    const bool isEvacuation = path.rfind(wire::evacuationsPath, 0) == 0;
    const bool isChange = !isRead && (isTarget || isEvacuation || path == wire::documentPath);
    if (refusesChanges_ && isChange) {
        return textResponse(http::status::service_unavailable,
                            "{\"error\":\"this member stops; send it to another\"}\n");
    }
    if (registry_ && isTarget) {
        return registry_->handleAnnouncement(request, yield);
    }
    if (registry_ && path == wire::documentPath) {
        return handleDocument(request, yield);
    }
    if (registry_ && isEvacuation) {
        return handleEvacuation(request, yield);
    }
    const absl::Status authentic
        = authenticator_ ? verifyRequest(*authenticator_, request) : absl::OkStatus();
    if (!authentic.ok()) {
        return textResponse(http::status::forbidden, std::string(authentic.message()) + "\n",
                            "text/plain");
    }
    return handleAuthenticated(path, request, yield);
}

HttpResponse ControlServer::handleAuthenticated(const std::string &path, const HttpRequest &request,
                                                Yield yield)
{
    if (registry_ && path == wire::feedPath) {
        return registry_->handlePoll(request, yield);
    }
    if (registry_ && path == wire::filesPath) {
        return handleFilesRequest(request);
    }
    if (path == wire::raftPath) {
        return handleRaft(request);
    }
    if (path == wire::oncePath) {
        return handleOnce(request, yield);
    }
    if (path == wire::configurationPath) {
        return handleConfigurationPoll(request, yield);
    }
    if (path == wire::rpcPath) {
        return handleRpc(request, yield);
    }
    return textResponse(http::status::not_found, "no such path; see docs/OPERATORS.md\n",
                        "text/plain");
}

HttpResponse ControlServer::handleRaft(const HttpRequest &request)
{
    const auto batch = unpack<RaftBatch>(request.body());
    if (!batch.ok()) {
        return badRequest(batch.status());
    }
    for (const RaftMessage &message : batch->messages) {
        node_->receive(message);
    }
    return textResponse(http::status::ok, "");
}

absl::StatusOr<ControlResult> ControlServer::propose(ControlCommand command, Milliseconds timeout,
                                                     Yield yield)
{
    struct Pending
    {
        explicit Pending(asio::io_context &loop, Milliseconds timeout) : timer(loop, timeout) { }
        Timer timer;
        std::optional<absl::StatusOr<ControlResult>> result;
    };
    const auto pending = std::make_shared<Pending>(loop_, timeout);
    node_->propose(std::move(command), [pending](absl::StatusOr<ControlResult> result) {
        pending->result = std::move(result);
        pending->timer.cancel();
    });
    ErrorCode ignored;
    if (!pending->result) {
        pending->timer.async_wait(yield[ignored]);
    }
    if (!pending->result) {
        return makeError(ErrorKind::timedOut, "the group has not committed the command in time",
                         "send it again with the same ID");
    }
    return std::move(*pending->result);
}

HttpResponse ControlServer::handleOnce(const HttpRequest &request, Yield yield)
{
    auto message = unpack<OnceRequest>(request.body());
    if (!message.ok()) {
        return badRequest(message.status());
    }
    if (!node_->raft().isLeader()) {
        return notLeaderResponse();
    }
    ++onceCalls_;
    ControlCommand command;
    command.type = CommandType::once;
    command.once = std::move(*message);
    const auto result = propose(std::move(command), onceCommitTimeout, yield);
    if (!result.ok()) {
        return isError(result.status(), ErrorKind::notLeader)
            ? notLeaderResponse()
            : textResponse(http::status::service_unavailable,
                           std::string(result.status().message()) + "\n", "text/plain");
    }
    return msgpackResponse(pack(result->once));
}

// Waits until a newer version than the given one is applied here; returns false on timeout and when
// this member is not the leader.
bool ControlServer::waitForNewerConfiguration(std::uint64_t epoch, std::uint64_t number,
                                              Milliseconds wait, Yield yield)
{
    const TimePoint end = Clock::now() + std::min(wait, maxPollWait);
    const ConfigurationVersion known { epoch, number };
    while (node_->raft().isLeader()) {
        const ConfigurationVersion current { node_->raft().epoch(),
                                             node_->state().configuration().number() };
        if (current.number > 0 && known < current) {
            return true;
        }
        if (Clock::now() >= end) {
            return false;
        }
        Timer timer(loop_, end);
        ErrorCode ignored;
        waitingPolls_.insert(&timer);
        timer.async_wait(yield[ignored]);
        waitingPolls_.erase(&timer);
    }
    return false;
}

bool ControlServer::confirmRead(Yield yield)
{
    constexpr Milliseconds timeout { 700 };
    struct Pending
    {
        explicit Pending(asio::io_context &loop, Milliseconds timeout) : timer(loop, timeout) { }
        Timer timer;
        std::optional<bool> isLeader;
    };
    const auto pending = std::make_shared<Pending>(loop_, timeout);
    node_->confirmRead([pending](bool isLeader) {
        pending->isLeader = isLeader;
        pending->timer.cancel();
    });
    ErrorCode ignored;
    if (!pending->isLeader) {
        pending->timer.async_wait(yield[ignored]);
    }
    return pending->isLeader.value_or(false);
}

HttpResponse ControlServer::handleConfigurationPoll(const HttpRequest &request, Yield yield)
{
    const auto poll = unpack<ConfigurationPoll>(request.body());
    if (!poll.ok()) {
        return badRequest(poll.status());
    }
    if (!node_->raft().isLeader()) {
        return notLeaderResponse();
    }
    entryReports_[poll->entry] = { poll->epoch, poll->number, Clock::now() };
    // An entry without a configuration must not get an old version from a partitioned member, so
    // its first poll is answered only after a majority has confirmed that this member leads.
    if (poll->number == 0 && !confirmRead(yield)) {
        return notLeaderResponse();
    }
    if (!waitForNewerConfiguration(poll->epoch, poll->number, Milliseconds(poll->waitMs), yield)) {
        return node_->raft().isLeader() ? textResponse(http::status::no_content, "")
                                        : notLeaderResponse();
    }
    ConfigurationUpdate update;
    update.epoch = node_->raft().epoch();
    update.number = node_->state().configuration().number();
    for (const FileWrite &file : node_->state().configuration().files()) {
        update.names.push_back(file.name);
        update.contents.push_back(file.content);
    }
    return msgpackResponse(pack(update));
}

HttpResponse ControlServer::handleRpc(const HttpRequest &request, Yield yield)
{
    const auto timer = std::make_shared<Timer>(loop_, TimePoint::max());
    const auto responseBody = std::make_shared<std::string>();
    asio::post(rpcLoop_, [this, timer, responseBody, body = request.body()] {
        contain([&] { *responseBody = rpc_->handle(body); });
        asio::post(loop_, [timer] { timer->cancel(); });
    });
    ErrorCode ignored;
    timer->async_wait(yield[ignored]);
    return textResponse(http::status::ok, *responseBody);
}

} // namespace kumquat
