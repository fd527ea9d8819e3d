// Whole configuration documents, and the feed by which entries and members follow this member.
#include "coordination/control/ControlServer.h"

#include "common/Deflate.h"
#include "common/JsonReader.h"
#include "coordination/control/ControlClient.h"
#include "kumquat/Event.h"
#include "protocol/Codec.h"
#include "protocol/ConfigurationVersion.h"
#include "protocol/Wire.h"

namespace kumquat {

namespace {

/// An operator moves on to another member after a second without an answer.
constexpr Milliseconds documentTime { 1'500 };
constexpr Milliseconds passOnTime { 1'500 };
constexpr char hintFile[] = "targets";
/// Targets change seldom; a file of them is written at most this often.
constexpr Milliseconds hintInterval { 1'000 };
/// Between two looks at the settings file.
constexpr Milliseconds watchInterval { 1'000 };

HttpResponse errorAnswer(http::status status, const absl::Status &error)
{
    Json::Value body;
    body["error"] = std::string(error.message());
    return textResponse(status, writeJson(body) + "\n");
}

HttpResponse notNow(const char *what)
{
    return errorAnswer(http::status::service_unavailable,
                       makeError(ErrorKind::unavailable, what, "send it again, to any member"));
}

} // namespace

void ControlServer::openFeed()
{
    TargetRegistryOptions options;
    options.name = settings_.listenAddress;
    options.heartbeat = settings_.heartbeat;
    TargetRegistryHooks hooks;
    hooks.members = [this] { return members(); };
    hooks.nameConfiguration = [this](const FeedPoll &poll, FeedAnswer &answer, Yield yield) {
        nameConfiguration(poll, answer, yield);
    };
    hooks.hasNewerConfiguration
        = [this](const FeedPoll &poll) { return hasNewerConfiguration(poll); };
    registry_ = std::make_unique<TargetRegistry>(loop_, options, dialect_, std::move(hooks));

    ControlFeedHooks feedHooks;
    feedHooks.fillPoll = [](FeedPoll &) {};
    feedHooks.take
        = [this](const std::string &, const FeedAnswer &answer) { registry_->take(answer); };
    feedHooks.reachabilityChanged = [](const std::string &member, bool reachable) {
        logEvent(reachable ? Event::peerUp : Event::peerDown, LogLevel::info, "peer={}", member);
    };
    const ControlFeedOptions feedOptions { settings_.listenAddress, settings_.listenAddress, true };
    feed_ = std::make_unique<ControlFeed>(loop_, authenticator_, feedOptions, std::move(feedHooks));
    feed_->setSeeds(settings_.seeds);
}

void ControlServer::reloadSettings()
{
    if (Clock::now() - watchedAt_ < watchInterval) {
        return;
    }
    watchedAt_ = Clock::now();
    const auto text = settingsWatch_.changed();
    if (!text) {
        return;
    }
    const auto settings = parseControlSettings("settings", *text);
    if (!settings.ok()) {
        logEvent(Event::settingsRejected, LogLevel::error, "{}",
                 std::string(settings.status().message()));
        return;
    }
    settings_.seeds = settings->seeds;
    feed_->setSeeds(settings_.seeds);
    logEvent(Event::settingsReloaded, LogLevel::info, "seeds={}", settings_.seeds.size());
}

void ControlServer::openHints()
{
    const auto bytes = disk_.read(hintFile);
    if (bytes) {
        registry_->takeHints(*bytes);
    }
}

// After a loss of power the targets' next heartbeats take a while; the file bridges it. It lasts
// only as hints do: what it says of a target that has changed since is corrected by the target.
void ControlServer::writeHints()
{
    const TimePoint now = Clock::now();
    const std::uint64_t cursor = registry_->feed().cursor();
    if (cursor == hintedCursor_ || now - hintedAt_ < hintInterval) {
        return;
    }
    hintedCursor_ = cursor;
    hintedAt_ = now;
    asio::post(diskLoop_, [this, bytes = registry_->saveHints()] {
        const absl::Status written = disk_.replace(hintFile, bytes);
        if (!written.ok()) {
            logEvent(Event::hintFileFailed, LogLevel::warning, "not written: {}",
                     std::string(written.message()));
        }
    });
}

std::vector<FeedMember> ControlServer::members() const
{
    std::vector<FeedMember> list;
    for (const GroupMember &member : node_->raft().members()) {
        list.push_back({ member.address, member.address, member.voter });
    }
    if (!node_->isVoter()) {
        list.push_back({ settings_.listenAddress, settings_.listenAddress, false });
    }
    return list;
}

bool ControlServer::hasNewerConfiguration(const FeedPoll &poll) const
{
    if (poll.member || !node_->raft().leads()) {
        return false;
    }
    const ConfigurationVersion present { node_->raft().epoch(),
                                         node_->state().configuration().number() };
    return present.number > 0 && ConfigurationVersion { poll.epoch, poll.number } < present;
}

// The files themselves are asked for at one member: sent with each member's answer, a long document
// came over an entry's link as many times as there are members, and all calls ran out of time.
// An entry that has nothing yet must not be handed an old version by a member that was cut off,
// so its first one comes from a leader that a majority has confirmed. Later ones may come from
// any member: what is applied is committed, and entries never go back.
void ControlServer::nameConfiguration(const FeedPoll &poll, FeedAnswer &answer, Yield yield)
{
    if (poll.member || (poll.number == 0 && (!node_->raft().leads() || !confirmRead(yield)))) {
        return;
    }
    const ConfigurationHistory &history = node_->state().configuration();
    const ConfigurationVersion present { node_->raft().epoch(), history.number() };
    if (present.number == 0 || !(ConfigurationVersion { poll.epoch, poll.number } < present)) {
        return;
    }
    answer.epoch = present.epoch;
    answer.number = present.number;
}

HttpResponse ControlServer::takeFilesRequest(const HttpRequest &request)
{
    const auto wanted = unpack<FilesRequest>(request.body());
    if (!wanted.ok()) {
        return errorAnswer(http::status::bad_request, wanted.status());
    }
    const ConfigurationHistory &history = node_->state().configuration();
    const ConfigurationVersion present { node_->raft().epoch(), history.number() };
    if (present < ConfigurationVersion { wanted->epoch, wanted->number }) {
        return notNow("this member has an older version");
    }
    if (packedVersion_ < present) {
        ConfigurationUpdate update;
        update.epoch = present.epoch;
        update.number = present.number;
        for (const FileWrite &file : history.files()) {
            update.names.push_back(file.name);
            update.contents.push_back(file.content);
        }
        packedFiles_ = deflated(pack(update));
        packedVersion_ = present;
    }
    ++filesServed_;
    return textResponse(http::status::ok, packedFiles_, "application/octet-stream");
}

HttpResponse ControlServer::takeDocument(const HttpRequest &request, Yield yield)
{
    if (request.method() == http::verb::get) {
        return node_->raft().leads() ? readDocument(yield) : passToLeader(request, yield);
    }
    const auto document = dialect_.parseDocument(request.body());
    if (!document.ok()) {
        logEvent(Event::documentRejected, LogLevel::warning, "{}",
                 std::string(document.status().message()));
        return errorAnswer(http::status::bad_request, document.status());
    }
    return node_->raft().leads() ? putDocument(document->version, request.body(), yield)
                                 : passToLeader(request, yield);
}

HttpResponse ControlServer::passToLeader(const HttpRequest &request, Yield yield)
{
    const std::string leader = node_->raft().leaderAddress();
    const bool passedOn = !std::string(request[wire::passedOn]).empty();
    if (leader.empty() || passedOn || leader == settings_.listenAddress) {
        return notNow("this member knows no leader");
    }
    HttpRequest copy(request.method(), request.target(), 11);
    copy.set(http::field::content_type, request[http::field::content_type]);
    copy.set(wire::passedOn, "1");
    copy.body() = request.body();
    const auto answer
        = leaderClient_.send(*parseAddress(leader), std::move(copy), passOnTime, yield);
    if (!answer.ok()) {
        return notNow("the leader does not answer");
    }
    return textResponse(answer->result(), answer->body());
}

HttpResponse ControlServer::putDocument(std::uint64_t version, const std::string &text, Yield yield)
{
    if (version <= node_->state().configuration().documentVersion()) {
        return textResponse(http::status::ok, "{}");
    }
    ControlCommand command;
    command.type = CommandType::document;
    command.document = { version, text };
    const auto result = propose(std::move(command), documentTime, yield);
    if (!result.ok()) {
        return notNow("the group has not stored it yet");
    }
    logEvent(Event::documentAccepted, LogLevel::info, "version={} number={}", version,
             result->change.number);
    return textResponse(http::status::ok, "{}");
}

HttpResponse ControlServer::readDocument(Yield yield)
{
    if (!confirmRead(yield) || node_->state().configuration().documentVersion() == 0) {
        return notNow("this member cannot say which version is the newest");
    }
    return textResponse(http::status::ok, node_->state().configuration().document());
}

} // namespace kumquat
