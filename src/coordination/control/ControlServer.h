#pragma once
/// \file
/// Serves a control member to its peers, entries, targets and operators over one internal port.
/// One event loop runs the group node; a second thread writes to disk, a third serves operators.

#include "common/FileWatch.h"
#include "coordination/consensus/GroupNode.h"
#include "coordination/consensus/PeerLinks.h"
#include "coordination/control/ControlRpc.h"
#include "coordination/control/EvacuationProposals.h"
#include "coordination/control/TargetRegistry.h"
#include "coordination/membership/ControlFeed.h"
#include "kumquat/Settings.h"
#include "protocol/ConfigurationVersion.h"
#include "transport/HttpClient.h"

#include <thread>

namespace kumquat {

class ControlServer
{
public:
    ControlServer(ControlSettings settings, const std::string &settingsFile, const std::string &key,
                  const Dialect &dialect);

    absl::Status open();
    /// Runs the event loop until stop().
    void run();
    void stop();

private:
    /// The configuration that an entry last reported as its own.
    struct EntryReport
    {
        std::uint64_t epoch = 0;
        std::uint64_t number = 0;
        TimePoint reportedAt;
    };
    void awaitAnswers(Yield yield);
    HttpResponse handle(const HttpRequest &request, Yield yield);
    HttpResponse handleRaft(const HttpRequest &request);
    HttpResponse handleOnce(const HttpRequest &request, Yield yield);
    HttpResponse handleConfigurationPoll(const HttpRequest &request, Yield yield);
    HttpResponse handleRpc(const HttpRequest &request, Yield yield);
    HttpResponse notLeaderResponse() const;

    HttpResponse handleAuthenticated(const std::string &path, const HttpRequest &request,
                                     Yield yield);

    // Configuration documents, the target feed with its cache, and reloaded settings.
    void openFeed();
    void reloadSettings();
    HttpResponse handleDocument(const HttpRequest &request, Yield yield);
    HttpResponse putDocument(std::uint64_t version, const std::string &text, Yield yield);
    std::shared_ptr<SharedProposal> proposeDocument(std::uint64_t version, const std::string &text);
    void finishDocument(std::uint64_t version, const std::shared_ptr<SharedProposal> &proposal,
                        absl::StatusOr<ControlResult> result);
    static void completeProposal(SharedProposal &proposal, absl::StatusOr<ControlResult> result);
    bool waitForProposal(SharedProposal &proposal, Milliseconds timeout, Yield yield);
    HttpResponse readDocument(Yield yield);
    HttpResponse forwardToLeader(const HttpRequest &request, Yield yield);
    std::vector<FeedMember> feedMembers() const;
    void attachNewerVersion(const FeedPoll &poll, FeedResponse &response, Yield yield);
    HttpResponse handleFilesRequest(const HttpRequest &request);
    bool hasNewerConfiguration(const FeedPoll &poll) const;
    bool limitsColdTargets(const std::string &service);
    absl::StatusOr<Configuration> readConfiguration() const;

    // Evacuations of failure domains.
    HttpResponse handleEvacuation(const HttpRequest &request, Yield yield);
    HttpResponse orderEvacuation(const EvacuationOrder &order, Yield yield);
    std::shared_ptr<SharedProposal> proposeEvacuation(const EvacuationOrder &order);
    void finishEvacuation(const EvacuationOrder &order,
                          const std::shared_ptr<SharedProposal> &proposal,
                          absl::StatusOr<ControlResult> result);
    HttpResponse awaitEvacuation(const EvacuationOrder &order, const EvacuationResult &result,
                                 Yield yield);
    ConfigurationVersion evacuationsVersion() const;
    bool hasNewerEvacuations(const FeedPoll &poll) const;
    void attachEvacuations(const FeedPoll &poll, FeedResponse &response) const;

    bool waitForNewerConfiguration(std::uint64_t epoch, std::uint64_t number, Milliseconds wait,
                                   Yield yield);
    bool confirmRead(Yield yield);
    absl::StatusOr<ControlResult> propose(ControlCommand command, Milliseconds timeout,
                                          Yield yield);
    void tickPeriodically(Yield yield);
    void runDiskWork(std::function<absl::Status()> work, std::function<void(absl::Status)> done);

    // Called on the operators' thread; each waits for the event loop.
    Json::Value rpcForm(const Json::Value &parameters);
    Json::Value rpcStatus(const Json::Value &parameters);
    Json::Value rpcCurrent(const Json::Value &parameters);
    Json::Value rpcCheck(const Json::Value &parameters);
    Json::Value rpcApply(const Json::Value &parameters);
    Json::Value rpcOnceShow(const Json::Value &parameters);
    void requireLeadership();
    Json::Value runOnLoop(const std::function<Json::Value()> &function);

    Json::Value status() const;
    std::string metrics() const;
    absl::Status openMetrics();

    ControlSettings settings_;
    FileWatch settingsWatch_;
    bool settingsRejected_ = false; ///< a start with the file as it is now would fail
    TimePoint settingsCheckedAt_;
    Disk disk_;
    Address address_;
    asio::io_context loop_ { 1 };
    asio::io_context diskLoop_ { 1 };
    asio::io_context rpcLoop_ { 1 };
    std::shared_ptr<Authenticator> authenticator_;
    std::shared_ptr<HttpServer> server_;
    std::shared_ptr<HttpServer> metricsServer_; ///< null when no metrics address is set
    std::unique_ptr<GroupNode> node_;
    std::unique_ptr<PeerLinks> peerLinks_;
    std::unique_ptr<ControlRpc> rpc_;
    const Dialect &dialect_;
    HttpClient leaderClient_;
    std::unique_ptr<TargetRegistry> registry_; ///< null without seeds
    std::unique_ptr<ControlFeed> feed_; ///< null without seeds
    std::set<Timer *> waitingPolls_; ///< cancelled when the state changes
    std::map<std::string, EntryReport> entryReports_;
    std::map<std::uint64_t, std::shared_ptr<SharedProposal>> documentProposals_; ///< by version
    EvacuationProposals evacuationProposals_;
    std::uint64_t evacuationOrders_ = 0; ///< confirmed by this member
    std::uint64_t onceCalls_ = 0;
    bool refusesChanges_ = false; ///< ends what it has under way before it stops
    ConfigurationVersion packedVersion_; ///< of `packedFiles_`
    std::uint64_t filesServed_ = 0;
    std::string packedFiles_; ///< response to a FilesRequest, packed once per version
    ConfigurationVersion coldLimitsVersion_; ///< of `servicesWithColdLimit_`
    std::set<std::string> servicesWithColdLimit_;
};

} // namespace kumquat
