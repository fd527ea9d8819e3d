#include "coordination/entry/EntryCoordinator.h"

#include "common/InstanceMemory.h"
#include "common/JsonReader.h"
#include "common/MetricsPage.h"
#include "kumquat/Event.h"
#include "protocol/Announcement.h"
#include "protocol/Wire.h"
#include "state/ReplicatedConfiguration.h"
#include "transport/Spawn.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace kumquat {

namespace {

constexpr int ticksPerLeaseCheck = 5;
/// The internal port's bodies take this part of the memory in each budget.
constexpr std::size_t announcementShares = 8;
/// Of a response to a health check, of which only the status counts.
constexpr std::size_t maxHealthResponseBytes = 16 * 1024;
/// After a process pause, an entry that no peer has updated within this time serves again.
constexpr Milliseconds refreshTimeout { 400 };

std::vector<Address> parseAddresses(const std::vector<std::string> &texts)
{
    std::vector<Address> addresses;
    addresses.reserve(texts.size());
    for (const std::string &text : texts) {
        addresses.push_back(*parseAddress(text));
    }
    return addresses;
}

} // namespace

EntryCoordinator::EntryCoordinator(EntryCore &core, EntrySettings settings,
                                   const std::string &settingsFile,
                                   std::shared_ptr<Authenticator> authenticator,
                                   std::shared_ptr<std::atomic<std::size_t>> leaderPosition)
    : core_(core), settings_(std::move(settings)), settingsWatch_(settingsFile),
      authenticator_(std::move(authenticator)), datagrams_(loop_, authenticator_),
      probeClient_(loop_, nullptr, maxHealthResponseBytes), memberClient_(loop_, authenticator_),
      control_(loop_, authenticator_, parseAddresses(settings_.controlMembers),
               std::move(leaderPosition)),
      healthProbeBudget_(configuration_.probesPerSecond, healthProbeBurst)
{
    GossipHooks hooks;
    hooks.send
        = [this](const Address &to, const std::string &payload) { datagrams_.send(to, payload); };
    hooks.targetsChanged = [this] { schedulePublish(); };
    hooks.leaseRenewed
        = [this](const std::string &target) { leases_[target].lastHeardAt = Clock::now(); };
    hooks.healthReceived = [this](const TargetHealth &health) {
        const TargetRecord *record = targets_.find(health.target);
        if (record != nullptr && record->incarnation == health.incarnation) {
            setReachable(*record, health.reachable, false);
        }
    };
    hooks.requestSuspected
        = [this](const RequestSuspicion &suspicion) { recordSuspicion(suspicion); };
    hooks.peerLivenessChanged = [this](const std::string &peer, bool live) {
        logEvent(live ? Event::peerUp : Event::peerDown, LogLevel::info, "peer={}", peer);
        schedulePublish();
    };
    GossipOptions options;
    options.name = settings_.name;
    options.incarnation = static_cast<std::uint64_t>(wallTime().count());
    if (!settings_.gossipAddress.empty()) {
        options.address = *parseAddress(settings_.gossipAddress);
    }
    options.peers = parseAddresses(settings_.gossipPeers);
    options.seed = randomSeed();
    gossip_ = std::make_unique<Gossip>(std::move(options), targets_, std::move(hooks));
    if (!settings_.controlSeeds.empty()) {
        openFeed();
    }
    openQuota();
    HttpServerLimits limits;
    limits.totalBodyBytes = std::min(
        limits.totalBodyBytes, usableMemoryBytes(settings_.memoryLimitMb) / announcementShares);
    server_ = std::make_shared<HttpServer>(
        loop_, [this](const HttpRequest &request, Yield yield) { return handle(request, yield); },
        limits);
    core_.hooks.suspectRequest = [this](std::uint64_t fingerprint, const std::string &target) {
        asio::post(loop_, [this, suspicion = RequestSuspicion { fingerprint, target }] {
            if (followsFeed()) {
                pendingSuspicions_.push_back(
                    { { suspicion.fingerprint, suspicion.target, 0 }, Clock::now() });
                return;
            }
            gossip_->propagateSuspicion(suspicion);
            gossip_->tick(Clock::now());
        });
        if (core_.quarantine.recordFailure(fingerprint, target, Clock::now())) {
            logEvent(Event::requestQuarantined, LogLevel::warning, "fingerprint={:x} target={}",
                     fingerprint, target);
        }
    };
}

absl::Status EntryCoordinator::open()
{
    const absl::Status metricsOpened = openMetrics();
    if (!metricsOpened.ok()) {
        return metricsOpened;
    }
    if (followsFeed()) {
        const absl::Status opened = openReportSharing();
        if (!opened.ok()) {
            return opened;
        }
        return server_->listen(*parseAddress(settings_.internalAddress));
    }
    const absl::Status bound
        = datagrams_.open(*parseAddress(settings_.gossipAddress), [this](const std::string &text) {
              gossip_->receive(text, Clock::now());
          });
    return bound.ok() ? server_->listen(*parseAddress(settings_.internalAddress)) : bound;
}

void EntryCoordinator::start()
{
    lastTickAt_ = bootClockNow();
    core_.recordTick();
    repeat(&EntryCoordinator::tick);
    repeat(&EntryCoordinator::tickQuota);
    if (followsFeed()) {
        feed_->setSeeds(settings_.controlSeeds);
    } else {
        repeat(&EntryCoordinator::followConfiguration);
    }
    thread_ = std::thread([this] { runLoop(loop_); });
}

void EntryCoordinator::repeat(bool (EntryCoordinator::*step)(Yield))
{
    spawnOn(loop_, [this, step](Yield yield) {
        repeatOn(
            loop_, [&] { return (this->*step)(yield); }, yield);
    });
}

void EntryCoordinator::stop()
{
    loop_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void EntryCoordinator::recordSuspicion(const RequestSuspicion &suspicion)
{
    if (core_.quarantine.recordFailure(suspicion.fingerprint, suspicion.target, Clock::now())) {
        logEvent(Event::requestQuarantined, LogLevel::warning, "fingerprint={:x} target={}",
                 suspicion.fingerprint, suspicion.target);
    }
}

HttpResponse EntryCoordinator::handle(const HttpRequest &request, Yield yield)
{
    const std::string path(request.target());
    if (path.rfind(wire::targetsPath, 0) == 0) {
        return announce(request, yield);
    }
    if (path == wire::readyPath) {
        const bool ready = core_.ready && !core_.stop.hasBegun() && core_.isFresh();
        return textResponse(ready ? http::status::ok : http::status::service_unavailable,
                            ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n");
    }
    if (path == wire::dumpPath) {
        return textResponse(http::status::ok, writeJson(dump(), true) + "\n");
    }
    if (path == wire::metricsPath) {
        return textResponse(http::status::ok, metrics(), metricsContentType);
    }
    return errorResponse(http::status::not_found,
                         makeError(ErrorKind::badMessage, path + " is not served here",
                                   "see the table of paths in docs/OPERATORS.md"));
}

bool EntryCoordinator::tick(Yield yield)
{
    pauseFor(loop_, Gossip::tickInterval, yield);
    const TimePoint now = Clock::now();
    detectProcessPause(now);
    if (!followsFeed()) {
        gossip_->tick(now);
    }
    updateEjections(now);
    if (ticks_++ % ticksPerLeaseCheck == 0) {
        if (followsFeed()) {
            reloadSettings();
        } else {
            checkLeases(now);
        }
        targets_.removeExpired(now);
    }
    if (endRefreshIfCurrent() && gossip_->isRefreshed()) {
        core_.recordTick();
    }
    lastTickAt_ = bootClockNow();
    publishIfDue();
    return true;
}

// A process that was paused resumes with an outdated view. New requests are refused until a peer
// has sent the changes, or until refreshTimeout has passed.
void EntryCoordinator::detectProcessPause(TimePoint now)
{
    const Clock::duration pausedFor = bootClockNow() - lastTickAt_;
    if (pausedFor <= EntryCore::staleAfter) {
        return;
    }
    logEvent(Event::processResumed, LogLevel::warning, "process was paused for {} ms",
             static_cast<int>(toMilliseconds(pausedFor)));
    if (followsFeed()) {
        refreshAfterPause(now);
        return;
    }
    gossip_->refresh(now);
    spawnOn(loop_, [this](Yield inner) {
        pauseFor(loop_, refreshTimeout, inner);
        core_.recordTick();
    });
}

void EntryCoordinator::updateEjections(TimePoint now)
{
    const auto routing = core_.routing.read();
    for (const auto &service : routing->services) {
        for (const EjectionEvent &event :
             ejection_.evaluate(*service, configuration_.ejectedShare, now)) {
            logEvent(event.ejected ? Event::targetEjected : Event::targetReturned, LogLevel::info,
                     "target={} because {}", event.target, event.reason);
        }
    }
}

} // namespace kumquat
