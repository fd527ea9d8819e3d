#include "kumquat/EntryProcess.h"

#include "common/InstanceMemory.h"
#include "coordination/entry/EntryCoordinator.h"
#include "coordination/entry/EntryWorker.h"
#include "coordination/entry/HostRouteAdmission.h"
#include "kumquat/Error.h"
#include "kumquat/Event.h"

#include <algorithm>
#include <condition_variable>
#include <list>

namespace kumquat {

namespace {

constexpr Milliseconds drainPollInterval { 50 };
/// A caller that connected just before the listener closed sends its request within this time.
constexpr Milliseconds firstRequestTime { 200 };

class Entry : public EntryProcess
{
public:
    Entry(EntrySettings settings, const std::string &file, const std::string &key,
          const Dialect &dialect)
        : settings_(std::move(settings)),
          authenticator_(key.empty() ? nullptr : std::make_shared<Authenticator>(key)),
          leaderPosition_(std::make_shared<std::atomic<std::size_t>>(0)),
          coordinator_(core_, settings_, file, authenticator_, leaderPosition_)
    {
        core_.dialect = &dialect;
        for (int i = 0; i < settings_.threads; ++i) {
            addWorker();
        }
        core_.hooks.isQuarantined = [this](std::uint64_t fingerprint) {
            return core_.quarantine.isQuarantined(fingerprint, Clock::now());
        };
        core_.hooks.mayStart = [this](TimePoint deadline) { return core_.stop.mayStart(deadline); };
        core_.hooks.clearRequest
            = [this](std::uint64_t fingerprint) { core_.quarantine.recordSuccess(fingerprint); };
        core_.hooks.once = [this](const OnceRequest &request, TimePoint deadline, Yield yield) {
            return clientOfThisThread().once(request, deadline, yield);
        };
    }

    absl::Status open()
    {
        absl::Status status = coordinator_.open();
        for (auto &worker : workers_) {
            status.Update(worker.listen(*parseAddress(settings_.callerAddress)));
        }
        return status;
    }

    void run() override
    {
        coordinator_.start();
        for (auto &worker : workers_) {
            worker.start();
        }
        logEvent(Event::processStarted, LogLevel::info, "entry={} callers={}", settings_.name,
                 settings_.callerAddress);
        {
            std::unique_lock<std::mutex> lock(mutex_);
            stopRequested_.wait(lock, [this] { return core_.stop.hasBegun(); });
        }
        drain();
        const int cut = core_.connections;
        std::size_t unanswered = 0;
        for (auto &worker : workers_) {
            worker.stop();
            unanswered += worker.unansweredRequests();
        }
        coordinator_.stop();
        logEvent(Event::processStopped, LogLevel::info, "entry={} cut={} unanswered={}",
                 settings_.name, cut, unanswered);
    }

    void stop() override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        core_.stop.begin(Clock::now(), Milliseconds(settings_.stopGraceMs + settings_.stopLimitMs));
        stopRequested_.notify_all();
    }

private:
    void addWorker()
    {
        // Bodies take a quarter of the memory in each direction; the rest is for all else.
        constexpr std::size_t memoryShares = 4;
        const std::size_t bodyBytes = usableMemoryBytes(settings_.memoryLimitMb) / memoryShares
            / static_cast<std::size_t>(settings_.threads);
        workers_.emplace_back(core_, settings_.maxConnections, bodyBytes, randomSeed());
        workers_.back().worker().admissions
            = std::make_shared<HostRouteAdmissions>(settings_.linkMbps / settings_.threads);
        std::vector<Address> members;
        for (const std::string &text : settings_.controlMembers) {
            members.push_back(*parseAddress(text));
        }
        clients_.emplace(&workers_.back().loop(),
                         std::make_unique<ControlClient>(workers_.back().loop(), authenticator_,
                                                         members, leaderPosition_));
    }

    // Each worker's event loop has its own client, used by the requests that run on that loop.
    ControlClient &clientOfThisThread()
    {
        for (auto &client : clients_) {
            if (client.first->get_executor().running_in_this_thread()) {
                return *client.second;
            }
        }
        KUMQUAT_ASSERT(false, "called outside the workers' event loops");
        return *clients_.begin()->second;
    }

    // The load balancer in front first sees "not ready" for the grace period; then the listeners
    // close and requests in flight complete. Connections accepted last may still bring theirs.
    // What outlasts the stop is answered before its end, and with it what waits behind it.
    void drain()
    {
        logEvent(Event::processStopping, LogLevel::info, "entry={} connections={}", settings_.name,
                 core_.connections.load());
        std::this_thread::sleep_for(Milliseconds(settings_.stopGraceMs));
        for (auto &worker : workers_) {
            worker.closeListener();
        }
        std::this_thread::sleep_for(firstRequestTime);
        for (auto &worker : workers_) {
            worker.closeIdle();
        }
        serveUntil(core_.stop.lastResponse());
        for (auto &worker : workers_) {
            worker.answerUnfinished();
        }
        // A process that stood still is late.
        serveUntil(std::max(core_.stop.end(), Clock::now() + PlannedStop::deliveryTime));
    }

    void serveUntil(TimePoint end) const
    {
        while (isServing() && Clock::now() < end) {
            std::this_thread::sleep_for(drainPollInterval);
        }
    }

    bool isServing() const
    {
        const bool haveDrained
            = std::all_of(workers_.begin(), workers_.end(),
                          [](const EntryWorker &worker) { return worker.hasDrained(); });
        // Asked in this order, since the connections are counted before a worker has drained.
        return !haveDrained || core_.connections > 0;
    }

    EntrySettings settings_;
    EntryCore core_;
    std::shared_ptr<Authenticator> authenticator_;
    std::shared_ptr<std::atomic<std::size_t>> leaderPosition_;
    EntryCoordinator coordinator_;
    std::list<EntryWorker> workers_;
    std::map<asio::io_context *, std::unique_ptr<ControlClient>> clients_;
    std::mutex mutex_;
    std::condition_variable stopRequested_;
};

} // namespace

EntryProcessBuilder &EntryProcessBuilder::settings(EntrySettings settings)
{
    settings_ = std::move(settings);
    return *this;
}

EntryProcessBuilder &EntryProcessBuilder::settingsFile(std::string file)
{
    file_ = std::move(file);
    return *this;
}

EntryProcessBuilder &EntryProcessBuilder::clusterKey(std::string key)
{
    key_ = std::move(key);
    return *this;
}

EntryProcessBuilder &EntryProcessBuilder::dialect(const Dialect &dialect)
{
    dialect_ = &dialect;
    return *this;
}

absl::StatusOr<std::unique_ptr<EntryProcess>> EntryProcessBuilder::build()
{
    auto entry = std::make_unique<Entry>(settings_, file_, key_,
                                         dialect_ == nullptr ? kumquatDialect() : *dialect_);
    const absl::Status opened = entry->open();
    if (!opened.ok()) {
        return opened;
    }
    return std::unique_ptr<EntryProcess>(std::move(entry));
}

} // namespace kumquat
