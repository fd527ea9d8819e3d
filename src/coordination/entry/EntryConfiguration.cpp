// The entry's configuration: polled from the control group's leader, or fetched from a member that
// advertises a newer version.
#include "common/Deflate.h"
#include "coordination/entry/EntryCoordinator.h"
#include "kumquat/Event.h"
#include "protocol/Codec.h"
#include "protocol/Wire.h"
#include "state/ReplicatedConfiguration.h"
#include "transport/Spawn.h"

#include <algorithm>

namespace kumquat {

namespace {

constexpr Milliseconds pollWait { 1'000 };
constexpr Milliseconds pollTimeout { 1'500 };
constexpr Milliseconds pollRetryDelay { 100 };
/// Time limit for one member to send the files; then another member is asked.
constexpr Milliseconds fetchTimeout { 900 };
/// Between two rounds of asking the members, which may not all have the version yet.
constexpr Milliseconds fetchRetryDelay { 100 };
/// After this many rounds the version is forgotten until a member advertises it again.
constexpr int maxFetchRounds = 3;
/// Limit for the size of decompressed files.
constexpr std::size_t maxFilesBytes = 64 * 1024 * 1024;

absl::StatusOr<Configuration> parseFiles(std::vector<ConfigurationFile> files,
                                         const Dialect &dialect)
{
    if (files.size() != 1 || files.front().name != documentFileName) {
        return parseConfiguration(std::move(files));
    }
    auto document = dialect.parseDocument(files.front().content, DocumentOrigin::confirmed);
    if (!document.ok()) {
        return document.status();
    }
    return std::move(document->configuration);
}

} // namespace

bool EntryCoordinator::followConfiguration(Yield yield)
{
    ConfigurationPoll poll { settings_.name, version_.epoch, version_.number, pollWait.count() };
    const auto update = control_.pollConfiguration(poll, pollTimeout, yield);
    if (update.ok() != controlReachable_) {
        controlReachable_ = update.ok();
        if (!controlReachable_) {
            logEvent(Event::controlUnreachable, LogLevel::warning, "{}",
                     std::string(update.status().message()));
        }
    }
    if (update.ok() && update->has_value()) {
        applyConfiguration(**update);
    } else if (!update.ok()) {
        pauseFor(loop_, pollRetryDelay, yield);
    }
    return true;
}

void EntryCoordinator::applyConfiguration(const ConfigurationUpdate &update)
{
    const ConfigurationVersion version { update.epoch, update.number };
    if (!(version_ < version)) {
        return;
    }
    std::vector<ConfigurationFile> files;
    for (std::size_t i = 0; i < update.names.size(); ++i) {
        files.push_back({ update.names[i], update.contents[i] });
    }
    auto configuration = parseFiles(std::move(files), *core_.dialect);
    if (!configuration.ok()) {
        logEvent(Event::configurationRejected, LogLevel::error, "version={}.{} {}", version.epoch,
                 version.number, std::string(configuration.status().message()));
        return;
    }
    configuration_ = std::move(*configuration);
    version_ = version;
    healthProbeBudget_.setRate(configuration_.probesPerSecond, healthProbeBurst);
    logEvent(Event::configurationApplied, LogLevel::info, "version={}.{}", version.epoch,
             version.number);
    buildHostRoutes();
    buildOrganisations();
    publishNow();
    updateReadiness();
}

void EntryCoordinator::updateReadiness()
{
    if (version_.number > 0 && (!followsFeed() || evacuationsKnown_)) {
        core_.ready = true;
    }
}

void EntryCoordinator::handleAdvertisedVersion(const std::string &member,
                                               const FeedResponse &response)
{
    const ConfigurationVersion advertised { response.epoch, response.number };
    // Serving begins with the first configuration, so the evacuations must be known before it.
    if (!evacuationsKnown_ || response.number == 0 || !(wantedVersion_ < advertised)) {
        return;
    }
    wantedVersion_ = advertised;
    wantedVersionMember_ = member;
    if (!fetchInProgress_) {
        fetchInProgress_ = true;
        spawnOn(
            loop_,
            [this](Yield yield) {
                repeatOn(
                    loop_, [&] { return fetchConfiguration(yield); }, yield);
            },
            [this] { fetchInProgress_ = false; });
    }
}

// A version that could not be fetched is forgotten, so that the next response of any member
// advertises it again. One that was fetched but is invalid is not fetched again. Returns false.
bool EntryCoordinator::fetchConfiguration(Yield yield)
{
    for (int round = 1; version_ < wantedVersion_; ++round) {
        const ConfigurationVersion requested = wantedVersion_;
        const auto update = fetchConfigurationFiles(yield);
        if (update.ok()) {
            applyConfiguration(*update);
        }
        const bool hasFailed = version_ < requested && !(requested < wantedVersion_);
        if (hasFailed && (update.ok() || round >= maxFetchRounds)) {
            wantedVersion_ = update.ok() ? wantedVersion_ : version_;
            break;
        }
        if (hasFailed) {
            pauseFor(loop_, fetchRetryDelay, yield);
        }
        round = hasFailed ? round : 0;
    }
    return false;
}

// The members' open polls name this version as known, so no member advertises it again before they
// end. Therefore the other members are asked at once when the one that advertised it fails.
absl::StatusOr<ConfigurationUpdate> EntryCoordinator::fetchConfigurationFiles(Yield yield)
{
    const std::string advertiser = wantedVersionMember_;
    auto update = fetchFilesFrom(advertiser, yield);
    for (const std::string &member : feed_->reachableAddresses()) {
        if (update.ok()) {
            break;
        }
        if (member != advertiser) {
            update = fetchFilesFrom(member, yield);
        }
    }
    return update;
}

absl::StatusOr<ConfigurationUpdate> EntryCoordinator::fetchFilesFrom(const std::string &member,
                                                                     Yield yield)
{
    const FilesRequest wanted { wantedVersion_.epoch, wantedVersion_.number };
    ++fetchCount_;
    const auto response = memberClient_.post(*parseAddress(member), wire::filesPath, pack(wanted),
                                             fetchTimeout, yield);
    if (!response.ok() || response->result() != http::status::ok) {
        const std::string why = response.ok() ? std::to_string(response->result_int())
                                              : std::string(response.status().message());
        logEvent(Event::configurationDelayed, LogLevel::warning, "member={} number={} {}", member,
                 wanted.number, why);
        return makeError(ErrorKind::unavailable, "the member sent no configuration files",
                         "fetch them from another member");
    }
    const auto files = inflateText(response->body(), maxFilesBytes);
    return files.ok() ? unpack<ConfigurationUpdate>(*files)
                      : absl::StatusOr<ConfigurationUpdate>(files.status());
}

// Routes are built once per configuration and not per routing table, since there may be many and
// targets change often.
void EntryCoordinator::buildHostRoutes()
{
    std::map<std::string, std::size_t> positions;
    for (std::size_t i = 0; i < configuration_.services.size(); ++i) {
        positions[configuration_.services[i].name] = i;
    }
    const bool hasBulkRoutes
        = std::any_of(configuration_.hostRoutes.begin(), configuration_.hostRoutes.end(),
                      [](const HostRoute &route) { return route.isBulk; });
    const bool queuesRequests = hasBulkRoutes || !configuration_.organisations.empty();
    auto routes = std::make_shared<HostRoutes>();
    for (const HostRoute &route : configuration_.hostRoutes) {
        auto active = std::make_shared<ActiveRoute>();
        active->configuration = route;
        active->queuesRequests = queuesRequests;
        for (const Destination &destination : route.destinations) {
            active->services.push_back(positions[destination.service]);
        }
        auto &runtime = routeRuntimes_[route.name];
        if (!runtime) {
            runtime = std::make_shared<RouteRuntime>();
        }
        active->runtime = runtime;
        (*routes)[routeKey(route.hostname, route.pathPrefix)] = std::move(active);
    }
    hostRoutes_ = std::move(routes);
}

void EntryCoordinator::buildOrganisations()
{
    organisations_ = nullptr;
    quota_->exchange().setOrganisations(configuration_.organisations, Clock::now());
    if (configuration_.organisations.empty()) {
        return;
    }
    auto byKey = std::make_shared<OrganisationsByKey>();
    for (const Organisation &organisation : configuration_.organisations) {
        const auto shared = std::make_shared<const Organisation>(organisation);
        for (const std::string &key : organisation.apiKeys) {
            byKey->emplace(key, shared);
        }
    }
    organisations_ = std::move(byKey);
}

} // namespace kumquat
