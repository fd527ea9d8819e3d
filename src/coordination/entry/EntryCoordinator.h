#pragma once
/// \file
/// Defines the coordination thread of an entry: announcements, gossip, configuration and probes.
/// Only this thread changes the target table and publishes routing tables.

#include "common/FileWatch.h"
#include "coordination/control/ControlClient.h"
#include "coordination/entry/EntryCore.h"
#include "coordination/entry/EntryQuota.h"
#include "coordination/entry/LoadReportSharing.h"
#include "coordination/membership/ControlFeed.h"
#include "coordination/membership/Gossip.h"
#include "coordination/policy/OutlierEjection.h"
#include "coordination/policy/Subset.h"
#include "kumquat/Settings.h"
#include "transport/DatagramSocket.h"

#include <json/json.h>
#include <thread>
#include <unordered_map>

namespace kumquat {

class MetricsPage;

class EntryCoordinator
{
public:
    EntryCoordinator(EntryCore &core, EntrySettings settings, const std::string &settingsFile,
                     std::shared_ptr<Authenticator> authenticator,
                     std::shared_ptr<std::atomic<std::size_t>> leaderPosition);

    absl::Status open();
    void start();
    void stop();

    asio::io_context &loop() { return loop_; }

private:
    static constexpr double healthProbeBurst = 5; ///< probes sent at once at most

    /// A suspicion of this entry that is still to be reported to the control group.
    struct PendingSuspicion
    {
        FeedSuspicion suspicion;
        TimePoint since;
    };

    /// The state of a target's lease at the entry that is responsible for the target.
    struct Lease
    {
        TimePoint lastHeardAt;
        TimePoint lastProbeAt;
        bool probing = false;
    };

    HttpResponse handle(const HttpRequest &request, Yield yield);
    HttpResponse announce(const HttpRequest &request, Yield yield);
    HttpResponse applyAnnouncement(const TargetRecord &record, Yield yield);
    bool waitForPropagation(const TargetRecord &record, Yield yield);

    /// Calls \p step again and again until it returns false.
    void repeat(bool (EntryCoordinator::*step)(Yield));
    bool tick(Yield yield);
    void detectProcessPause(TimePoint now);
    void updateEjections(TimePoint now);
    void checkLeases(TimePoint now);
    void probeHealth(const TargetRecord &record, Yield yield);
    void setReachable(const TargetRecord &record, bool reachable, bool propagate);

    // Used only when targets announce themselves to the control group; see EntryFeed.cpp.
    void openFeed();
    void fillPoll(FeedPoll &poll);
    void applyFeedResponse(const std::string &member, const FeedResponse &response);
    void updateMemberReachability(const std::string &member, bool reachable);
    absl::Status openReportSharing();
    void scheduleReportBatch();
    void startReportBatch();
    void updateReportAddresses(const std::string &member, const FeedResponse &response);
    void updateReportPeers();
    void markSubset(ActiveService &service);
    void markColdLimit(ActiveService &service);
    bool isExpiredAtAllMembers(const std::string &target) const;
    void recordWarmup(const FeedItem &item, bool isNewer, bool hasReturned);
    bool serviceLimitsColdTargets(const std::string &name) const;
    bool followsFeed() const { return feed_ != nullptr; }
    std::size_t liveEntries() const;
    void refreshAfterPause(TimePoint now);
    bool endRefreshIfCurrent();
    void updateBudgets(const ActiveService &service);
    bool mergeEvacuations(const std::string &member, const FeedResponse &response);
    void returnTargets(const std::string &failureDomain);
    bool isEvacuated(const TargetRecord &record) const;
    bool applyFeedItem(const std::string &member, const FeedItem &item);
    void reloadSettings();

    // Configuration: polled from the leader, or fetched when a member advertises a newer version.
    bool followConfiguration(Yield yield);
    void updateReadiness();
    void handleAdvertisedVersion(const std::string &member, const FeedResponse &response);
    bool fetchConfiguration(Yield yield);
    absl::StatusOr<ConfigurationUpdate> fetchConfigurationFiles(Yield yield);
    absl::StatusOr<ConfigurationUpdate> fetchFilesFrom(const std::string &member, Yield yield);
    void applyConfiguration(const ConfigurationUpdate &update);
    void buildHostRoutes();
    void buildOrganisations();
    /// Publishes a new routing table after a short delay, so that concurrent changes share one.
    void schedulePublish();
    bool publishSoon(Yield yield);
    void publishIfDue();
    void publishNow();
    using ServiceTargets = std::unordered_map<std::string, std::vector<TargetPtr>>;

    ServiceTargets targetsByService(TimePoint now);
    TargetPtr targetFor(const TargetRecord &record, TimePoint now);
    std::shared_ptr<const ActiveService> buildActiveService(const Service &service,
                                                            std::vector<TargetPtr> targets);
    std::shared_ptr<TargetStats> statsFor(const TargetRecord &record, TimePoint now);
    void recordSuspicion(const RequestSuspicion &suspicion);

    // The quotas of organisations; see EntryQuotaStatus.cpp.
    void openQuota();
    bool tickQuota(Yield yield);
    void receiveReport(const std::string &payload);
    Json::Value dumpQuotas() const;
    void addQuotaMetrics(MetricsPage &page) const;

    Json::Value dump() const;
    std::string metrics() const;
    absl::Status openMetrics();

    EntryCore &core_;
    EntrySettings settings_;
    FileWatch settingsWatch_;
    bool settingsRejected_ = false; ///< a start with the file as it is now would fail
    asio::io_context loop_ { 1 };
    std::shared_ptr<Authenticator> authenticator_;
    std::shared_ptr<HttpServer> server_;
    std::shared_ptr<HttpServer> metricsServer_; ///< null when no metrics address is set
    DatagramSocket datagrams_;
    HttpClient probeClient_;
    HttpClient memberClient_;
    ControlClient control_;
    TargetTable targets_;
    std::unique_ptr<Gossip> gossip_;
    std::unique_ptr<ControlFeed> feed_; ///< null when targets announce themselves to entries
    /// Targets whose lease has expired, by the member that reported it.
    std::map<std::string, std::set<std::string>> expiredTargetsByMember_;
    std::unique_ptr<LoadReportSharing> reportSharing_; ///< null when no report address is set
    std::atomic<bool> reportBatchDue_ { false };
    std::unique_ptr<EntryQuota> quota_;
    Timer quotaTimer_ { loop_ }; ///< until the next tick of `quota_`
    std::deque<PendingSuspicion> pendingSuspicions_;
    std::map<std::string, std::uint32_t> entryCountByMember_; ///< entries that follow it
    /// Report addresses of the entries that a member lists, by member.
    std::map<std::string, std::vector<std::string>> reportAddressesByMember_;
    SubsetEntries subsetEntries_;
    /// This entry's rank for each target, by the target's hash; caches entryRank().
    std::unordered_map<std::uint64_t, std::size_t> subsetRanks_;
    std::map<std::string, std::shared_ptr<RouteRuntime>> routeRuntimes_;
    OutlierEjection ejection_;
    Configuration configuration_;
    ConfigurationVersion version_;
    ConfigurationVersion wantedVersion_; ///< the newest that a member has advertised
    std::string wantedVersionMember_; ///< that member
    ConfigurationVersion evacuationsVersion_;
    bool evacuationsKnown_ = false;
    std::set<std::string> evacuatedDomains_;
    bool fetchInProgress_ = false;
    std::uint64_t fetchCount_ = 0;
    std::shared_ptr<const HostRoutes> hostRoutes_ = std::make_shared<HostRoutes>();
    std::shared_ptr<const OrganisationsByKey> organisations_; ///< null when callers need no key
    bool controlReachable_ = false;
    std::map<std::string, std::shared_ptr<ServiceRuntime>> runtimes_;
    std::map<std::string, std::shared_ptr<TargetStats>> stats_;
    /// The targets of the last routing table, by name.
    std::unordered_map<std::string, TargetPtr> publishedTargets_;
    std::map<std::string, Lease> leases_;
    TokenBucket healthProbeBudget_;
    std::uint64_t healthProbesSent_ = 0;
    std::uint64_t healthProbesThrottled_ = 0;
    TimePoint lastTickAt_; ///< of the boot clock
    int ticks_ = 0;
    bool publishDue_ = false;
    std::optional<TimePoint> refreshSince_; ///< of a process pause whose refresh is pending
    std::thread thread_;
};

} // namespace kumquat
