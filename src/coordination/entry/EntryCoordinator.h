#pragma once
/// \file
/// Defines the coordination thread of an entry: announcements, gossip, configuration, probes.
/// It alone changes the membership and publishes routing tables.

#include "common/FileWatch.h"
#include "coordination/control/ControlClient.h"
#include "coordination/entry/EntryCore.h"
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

class EntryCoordinator
{
public:
    EntryCoordinator(EntryCore &core, EntrySettings settings, const std::string &settingsFile,
                     std::shared_ptr<Authenticator> authenticator,
                     std::shared_ptr<std::atomic<std::size_t>> leader);

    absl::Status open();
    void start();
    void stop();

    asio::io_context &loop() { return loop_; }

private:
    static constexpr double probeBurst = 5; ///< probes that may go at once after a pause

    struct HeldSuspicion
    {
        FeedSuspicion suspicion;
        TimePoint since;
    };

    /// What the responsible entry keeps of a target's lease.
    struct Lease
    {
        TimePoint heardAt;
        TimePoint probedAt;
        bool probing = false;
    };

    HttpResponse handle(const HttpRequest &request, Yield yield);
    HttpResponse announce(const HttpRequest &request, Yield yield);
    HttpResponse takeAnnouncement(const TargetRecord &record, Yield yield);
    bool waitForSpread(const TargetRecord &record, Yield yield);

    void tickForever(Yield yield);
    void noticeFreeze(TimePoint now);
    void judgeTargets(TimePoint now);
    void judgeLeases(TimePoint now);
    void probe(const TargetRecord &record, Yield yield);
    void setReachable(const TargetRecord &record, bool reachable, bool spread);

    // What is learned from the control group when targets announce themselves there.
    void openFeed();
    void fillPoll(FeedPoll &poll);
    void takeFeed(const std::string &member, const FeedAnswer &answer);
    void noteReachability(const std::string &member, bool reachable);
    absl::Status openSharing();
    void shareForever(Yield yield);
    void takePeers(const std::string &member, const FeedAnswer &answer);
    void setPeers();
    void divideTargets(ActiveService &service);
    bool followsFeed() const { return feed_ != nullptr; }
    std::size_t liveEntries() const;
    void refreshAfterFreeze(TimePoint now);
    void setBudgets(const ActiveService &service);
    bool takeFeedItem(const std::string &member, const FeedItem &item);
    void reloadSettings();

    // The configuration: polled for at the leader, or fetched when a member names a newer one.
    void followConfiguration(Yield yield);
    void noteVersion(const std::string &member, const FeedAnswer &answer);
    void fetchConfiguration(Yield yield);
    absl::StatusOr<ConfigurationUpdate> fetchFiles(Yield yield);
    void takeConfiguration(const ConfigurationUpdate &update);
    void buildHostRoutes();
    /// Publishes a new routing table soon; changes that come together share one.
    void publish();
    void publishNow();
    using ServiceTargets = std::unordered_map<std::string, std::vector<TargetPtr>>;

    ServiceTargets targetsByService(TimePoint now);
    TargetPtr targetOf(const TargetRecord &record, TimePoint now);
    std::shared_ptr<const ActiveService> activeService(const Service &service,
                                                       std::vector<TargetPtr> targets);
    std::shared_ptr<TargetStats> statsOf(const TargetRecord &record, TimePoint now);
    void suspectRequest(const RequestSuspicion &suspicion);

    Json::Value dump() const;
    std::string metrics() const;
    absl::Status openMetrics();

    EntryCore &core_;
    EntrySettings settings_;
    FileWatch settingsWatch_;
    asio::io_context loop_ { 1 };
    std::shared_ptr<Authenticator> authenticator_;
    std::shared_ptr<HttpServer> server_;
    std::shared_ptr<HttpServer> metricsServer_; ///< null without an address of its own
    DatagramSocket datagrams_;
    HttpClient probeClient_;
    HttpClient memberClient_;
    ControlClient control_;
    Membership membership_;
    std::unique_ptr<Gossip> gossip_;
    std::unique_ptr<ControlFeed> feed_; ///< null when targets announce themselves here
    std::map<std::string, std::set<std::string>> silentAt_; ///< targets, by member
    std::unique_ptr<LoadReportSharing> sharing_; ///< null without an address for reports
    std::deque<HeldSuspicion> suspicions_; ///< of this entry, to be told to the members
    std::map<std::string, std::uint32_t> entriesAt_; ///< entries that follow each member
    std::map<std::string, std::vector<std::string>> reportersAt_; ///< their addresses for reports
    SubsetEntries subsetEntries_;
    std::unordered_map<std::uint64_t, std::size_t> ranks_; ///< of this entry, by target
    std::map<std::string, std::shared_ptr<RouteRuntime>> routeRuntimes_;
    OutlierEjection ejection_;
    Configuration configuration_;
    ConfigurationVersion version_;
    ConfigurationVersion wanted_; ///< the newest that a member has named
    std::string wantedFrom_; ///< that member
    bool fetching_ = false;
    std::uint64_t fetches_ = 0;
    std::shared_ptr<const HostRoutes> hostRoutes_ = std::make_shared<HostRoutes>();
    bool controlReachable_ = false;
    std::map<std::string, std::shared_ptr<ServiceRuntime>> runtimes_;
    std::map<std::string, std::shared_ptr<TargetStats>> stats_;
    std::unordered_map<std::string, TargetPtr> published_; ///< as in the last routing table
    std::map<std::string, Lease> leases_;
    TokenBucket probeBudget_;
    std::uint64_t probesSent_ = 0;
    std::uint64_t probesHeldBack_ = 0;
    TimePoint lastTick_; ///< of the boot clock
    bool publishing_ = false;
    bool stale_ = false; ///< woken after a freeze and not told yet what has changed
    std::thread thread_;
};

} // namespace kumquat
