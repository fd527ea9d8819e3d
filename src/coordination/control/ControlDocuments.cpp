// The part of ControlServer for whole configuration documents and for the feed that entries and
// other members poll.
#include "coordination/control/ControlServer.h"

#include "common/Deflate.h"
#include "common/JsonReader.h"
#include "coordination/control/ControlClient.h"
#include "coordination/policy/ColdTargetSetting.h"
#include "kumquat/Event.h"
#include "protocol/Codec.h"
#include "protocol/ConfigurationVersion.h"
#include "protocol/Wire.h"

namespace kumquat {

namespace {

/// Little more than the second after which an operator without a response tries another member.
constexpr Milliseconds documentCommitTimeout { 1'500 };
constexpr Milliseconds forwardTimeout { 1'500 };
/// Time between two checks of the settings file.
constexpr Milliseconds settingsCheckInterval { 1'000 };

HttpResponse unavailableResponse(const char *what)
{
    return errorResponse(http::status::service_unavailable,
                         makeError(ErrorKind::unavailable, what, "send it again, to any member"));
}

} // namespace

void ControlServer::openFeed()
{
    TargetRegistryOptions options;
    options.name = settings_.listenAddress;
    options.heartbeatInterval = settings_.heartbeat;
    TargetRegistryHooks hooks;
    hooks.members = [this] { return feedMembers(); };
    hooks.attachNewerVersion = [this](const FeedPoll &poll, FeedResponse &response, Yield yield) {
        attachNewerVersion(poll, response, yield);
    };
    hooks.hasNewerVersion = [this](const FeedPoll &poll) {
        return hasNewerConfiguration(poll) || hasNewerEvacuations(poll);
    };
    hooks.limitsColdTargets
        = [this](const std::string &service) { return limitsColdTargets(service); };
    hooks.runDiskWork
        = [this](std::function<absl::Status()> work, std::function<void(absl::Status)> done) {
              runDiskWork(std::move(work), std::move(done));
          };
    registry_ = std::make_unique<TargetRegistry>(loop_, options, dialect_, disk_, std::move(hooks));

    ControlFeedHooks feedHooks;
    feedHooks.fillPoll = [](FeedPoll &) {};
    feedHooks.responseReceived
        = [this](const std::string &, const FeedResponse &response) { registry_->merge(response); };
    feedHooks.waitUntilStored = [this](Yield yield) { return registry_->waitUntilStored(yield); };
    feedHooks.reachabilityChanged = [](const std::string &member, bool reachable) {
        logEvent(reachable ? Event::peerUp : Event::peerDown, LogLevel::info, "peer={}", member);
    };
    const ControlFeedOptions feedOptions { settings_.listenAddress, settings_.listenAddress, true };
    feed_ = std::make_unique<ControlFeed>(loop_, authenticator_, feedOptions, std::move(feedHooks));
    feed_->setSeeds(settings_.seeds);
}

void ControlServer::reloadSettings()
{
    if (Clock::now() - settingsCheckedAt_ < settingsCheckInterval) {
        return;
    }
    settingsCheckedAt_ = Clock::now();
    const auto text = settingsWatch_.readIfChanged();
    if (!text) {
        return;
    }
    const auto settings = parseControlSettings("settings", *text);
    settingsRejected_ = !settings.ok();
    if (settingsRejected_) {
        logEvent(Event::settingsRejected, LogLevel::error, "{}",
                 std::string(settings.status().message()));
        return;
    }
    settings_.seeds = settings->seeds;
    feed_->setSeeds(settings_.seeds);
    logEvent(Event::settingsReloaded, LogLevel::info, "seeds={}", settings_.seeds.size());
}

std::vector<FeedMember> ControlServer::feedMembers() const
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
    if (poll.isMember || !node_->raft().isLeader()) {
        return false;
    }
    const ConfigurationVersion current { node_->raft().epoch(),
                                         node_->state().configuration().number() };
    return current.number > 0 && ConfigurationVersion { poll.epoch, poll.number } < current;
}

// Only the version is sent; an entry requests the files from one member, so that a document crosses
// its link once.
// An entry without a configuration must not get an old version from a partitioned member, so its
// first version comes from a leader that a majority has confirmed. Later versions may come from any
// member: an applied version is committed, and entries never go back to an older one. The same
// holds for evacuations; an entry has none of this group's while it names another epoch.
void ControlServer::attachNewerVersion(const FeedPoll &poll, FeedResponse &response, Yield yield)
{
    if (poll.isMember) {
        return;
    }
    response.tracksEvacuations = true;
    const bool isNewHere = poll.tracksEvacuations && poll.evacuationEpoch != node_->raft().epoch();
    const bool isConfirmed
        = (poll.number == 0 || isNewHere) && node_->raft().isLeader() && confirmRead(yield);
    if (isConfirmed || !isNewHere) {
        attachEvacuations(poll, response);
    }
    if (!isConfirmed && poll.number == 0) {
        return;
    }
    const ReplicatedConfiguration &configuration = node_->state().configuration();
    const ConfigurationVersion current { node_->raft().epoch(), configuration.number() };
    if (current.number == 0 || !(ConfigurationVersion { poll.epoch, poll.number } < current)) {
        return;
    }
    response.epoch = current.epoch;
    response.number = current.number;
}

// Read anew only when a target may have turned cold under another version, because a document may
// be long. One that cannot be read here was committed by a member of a later version.
bool ControlServer::limitsColdTargets(const std::string &service)
{
    const ConfigurationVersion current { node_->raft().epoch(),
                                         node_->state().configuration().number() };
    if (!(coldLimitsVersion_ == current)) {
        coldLimitsVersion_ = current;
        servicesWithColdLimit_.clear();
        const auto configuration = readConfiguration();
        if (!configuration.ok()) {
            return false;
        }
        for (const Service &each : configuration->services) {
            if (kumquat::limitsColdTargets(each)) {
                servicesWithColdLimit_.insert(each.name);
            }
        }
    }
    return servicesWithColdLimit_.count(service) > 0;
}

absl::StatusOr<Configuration> ControlServer::readConfiguration() const
{
    const ReplicatedConfiguration &configuration = node_->state().configuration();
    if (configuration.hasDocument()) {
        auto document = dialect_.parseDocument(configuration.document(), DocumentOrigin::confirmed);
        return document.ok() ? absl::StatusOr<Configuration>(std::move(document->configuration))
                             : document.status();
    }
    std::vector<ConfigurationFile> files;
    for (const FileWrite &file : configuration.files()) {
        files.push_back({ file.name, file.content });
    }
    return parseConfiguration(std::move(files));
}

HttpResponse ControlServer::handleFilesRequest(const HttpRequest &request)
{
    const auto filesRequest = unpack<FilesRequest>(request.body());
    if (!filesRequest.ok()) {
        return errorResponse(http::status::bad_request, filesRequest.status());
    }
    const ReplicatedConfiguration &configuration = node_->state().configuration();
    const ConfigurationVersion current { node_->raft().epoch(), configuration.number() };
    if (current < ConfigurationVersion { filesRequest->epoch, filesRequest->number }) {
        return unavailableResponse("this member has an older version");
    }
    if (packedVersion_ < current) {
        ConfigurationUpdate update;
        update.epoch = current.epoch;
        update.number = current.number;
        for (const FileWrite &file : configuration.files()) {
            update.names.push_back(file.name);
            update.contents.push_back(file.content);
        }
        packedFiles_ = deflateText(pack(update));
        packedVersion_ = current;
    }
    ++filesServed_;
    return textResponse(http::status::ok, packedFiles_, "application/octet-stream");
}

HttpResponse ControlServer::handleDocument(const HttpRequest &request, Yield yield)
{
    if (request.method() == http::verb::get) {
        return node_->raft().isLeader() ? readDocument(yield) : forwardToLeader(request, yield);
    }
    const auto document = dialect_.parseDocument(request.body(), DocumentOrigin::received);
    if (!document.ok()) {
        logEvent(Event::documentRejected, LogLevel::warning, "{}",
                 std::string(document.status().message()));
        return errorResponse(http::status::bad_request, document.status());
    }
    return node_->raft().isLeader() ? putDocument(document->version, request.body(), yield)
                                    : forwardToLeader(request, yield);
}

HttpResponse ControlServer::forwardToLeader(const HttpRequest &request, Yield yield)
{
    const std::string leader = node_->raft().leaderAddress();
    const bool forwarded = !std::string(request[wire::passedOn]).empty();
    if (leader.empty() || forwarded || leader == settings_.listenAddress) {
        return unavailableResponse("this member knows no leader");
    }
    HttpRequest forwardedRequest(request.method(), request.target(), 11);
    forwardedRequest.set(http::field::content_type, request[http::field::content_type]);
    forwardedRequest.set(wire::passedOn, "1");
    forwardedRequest.body() = request.body();
    const auto response = leaderClient_.send(*parseAddress(leader), std::move(forwardedRequest),
                                             forwardTimeout, yield);
    if (!response.ok()) {
        return unavailableResponse("the leader does not respond");
    }
    return textResponse(response->result(), response->body());
}

HttpResponse ControlServer::putDocument(std::uint64_t version, const std::string &text, Yield yield)
{
    const ReplicatedConfiguration &configuration = node_->state().configuration();
    if (configuration.hasDocument() && version <= configuration.documentVersion()) {
        return textResponse(http::status::ok, "{}");
    }
    const auto proposal = proposeDocument(version, text);
    return waitForProposal(*proposal, documentCommitTimeout, yield)
        ? textResponse(http::status::ok, "{}")
        : unavailableResponse("the group has not committed the document yet");
}

// Operators without a response send the same document again each second, to each member; if each
// copy were proposed, the log would grow with them while the group can't commit. Whichever text of
// a version is committed first is in force, so any order for the version may wait for that commit.
// A proposal of an earlier term may be lost.
std::shared_ptr<SharedProposal> ControlServer::proposeDocument(std::uint64_t version,
                                                               const std::string &text)
{
    const std::uint64_t term = node_->raft().term();
    const auto known = documentProposals_.find(version);
    if (known != documentProposals_.end() && known->second->term == term) {
        return known->second;
    }
    const auto proposal = std::make_shared<SharedProposal>();
    proposal->term = term;
    documentProposals_[version] = proposal;
    ControlCommand command;
    command.type = CommandType::document;
    command.document = { version, text };
    node_->propose(std::move(command),
                   [this, version, proposal](absl::StatusOr<ControlResult> result) {
                       finishDocument(version, proposal, std::move(result));
                   });
    return proposal;
}

void ControlServer::finishDocument(std::uint64_t version,
                                   const std::shared_ptr<SharedProposal> &proposal,
                                   absl::StatusOr<ControlResult> result)
{
    if (result.ok()) {
        logEvent(Event::documentAccepted, LogLevel::info, "version={} number={}", version,
                 result->change.number);
    }
    completeProposal(*proposal, std::move(result));
    const auto known = documentProposals_.find(version);
    if (known != documentProposals_.end() && known->second == proposal) {
        documentProposals_.erase(known);
    }
}

void ControlServer::completeProposal(SharedProposal &proposal, absl::StatusOr<ControlResult> result)
{
    proposal.result = std::move(result);
    for (Timer *timer : proposal.waiting) {
        timer->cancel();
    }
}

bool ControlServer::waitForProposal(SharedProposal &proposal, Milliseconds timeout, Yield yield)
{
    if (!proposal.result) {
        Timer timer(loop_, timeout);
        ErrorCode ignored;
        proposal.waiting.insert(&timer);
        timer.async_wait(yield[ignored]);
        proposal.waiting.erase(&timer);
    }
    return proposal.result && proposal.result->ok();
}

HttpResponse ControlServer::readDocument(Yield yield)
{
    if (!confirmRead(yield) || !node_->state().configuration().hasDocument()) {
        return unavailableResponse("this member cannot confirm which version is the latest");
    }
    return textResponse(http::status::ok, node_->state().configuration().document());
}

} // namespace kumquat
