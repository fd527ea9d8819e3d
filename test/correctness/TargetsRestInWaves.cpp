// Simulates 300 entries on a virtual clock whose targets ask for rest in waves, a third at a time.
#include "TestSupport.h"
#include "coordination/entry/ServiceRuntime.h"
#include "coordination/entry/TargetStatements.h"
#include "platform/Dialect.h"

#include <deque>

using namespace kumquat;
using kumquat::test::VirtualClock;

namespace {

constexpr int entryCount = 300;
constexpr int targetCount = 12;
constexpr int groups = 3; ///< of targets that get tired together
constexpr int waves = 6;
constexpr int slots = 600;
constexpr Milliseconds step { 10 };
constexpr Milliseconds workTime { 100 };
constexpr Milliseconds refusalTime { 20 };
constexpr Milliseconds waveInterval { 4'000 };
constexpr Milliseconds waveLength { 800 }; ///< for which tired targets refuse everything
constexpr Milliseconds settleTime { 500 }; ///< after which the rule counts
constexpr int maxDuringRest = 2;
constexpr int requestsPerSecond = 10; ///< of each entry

/// What one entry was asked by one target, kept apart from the code that obeys it.
struct AskedRest
{
    TimePoint countedFrom;
    TimePoint until;
    int arrivals = 0; ///< between the two
};

struct Sending
{
    TimePoint endsAt;
    int entry = 0;
    int target = 0;
    int restSeconds = 0; ///< 0: the target served the request
    std::vector<std::string> tried;
};

class RestSimulation
{
public:
    explicit RestSimulation(std::uint64_t seed) : random_(seed)
    {
        for (int entry = 0; entry < entryCount; ++entry) {
            services_.push_back(makeService());
        }
        asked_.resize(entryCount, std::vector<AskedRest>(targetCount));
        served_.resize(targetCount);
    }

    void run(Milliseconds duration)
    {
        const TimePoint end = clock_.now + duration;
        for (; clock_.now < end; clock_.advance(step)) {
            endSendings();
            for (int entry = 0; entry < entryCount; ++entry) {
                if (randomBelow(random_, 1'000)
                    < static_cast<std::size_t>(requestsPerSecond * step.count())) {
                    send(entry, {});
                }
            }
        }
    }

    int mostArrivalsDuringRest() const { return mostArrivalsDuringRest_; }
    int unplaced() const { return unplaced_; }
    int rests() const { return rests_; }
    /// Requests that a target served since it last asked for rest.
    int served(int target) const { return served_[static_cast<std::size_t>(target)]; }

private:
    std::shared_ptr<ActiveService> makeService() const
    {
        auto service = std::make_shared<ActiveService>();
        service->runtime = std::make_shared<ServiceRuntime>();
        service->policy = makeLoadBalancingPolicy("power-of-two");
        service->entries = entryCount;
        for (int i = 0; i < targetCount; ++i) {
            auto target = std::make_shared<Target>();
            target->record.name = std::to_string(i);
            target->record.state = TargetState::ready;
            target->record.incarnation = 1;
            target->record.slots = slots;
            target->stats = std::make_shared<TargetStats>(1);
            service->targets.push_back(target);
        }
        return service;
    }

    bool isTired(int target) const
    {
        const auto sinceStart = clock_.now - TimePoint(Seconds(1'000));
        const auto wave = sinceStart / waveInterval;
        return wave > 0 && wave <= waves && sinceStart % waveInterval < waveLength
            && wave % groups == target % groups;
    }

    void send(int entry, std::vector<std::string> tried)
    {
        const ActiveService &service = *services_[static_cast<std::size_t>(entry)];
        const TargetPtr chosen = acquireTarget(service, tried, clock_.now, random_);
        if (chosen == nullptr) {
            ++unplaced_;
            return;
        }
        Sending sending;
        sending.entry = entry;
        sending.target = std::stoi(chosen->record.name);
        sending.tried = std::move(tried);
        sending.tried.push_back(chosen->record.name);
        // Later responses ask for more rest or for less.
        sending.restSeconds
            = isTired(sending.target) ? 1 + static_cast<int>(randomBelow(random_, 3)) : 0;
        sending.endsAt = clock_.now + (sending.restSeconds > 0 ? refusalTime : workTime);
        countArrival(
            asked_[static_cast<std::size_t>(entry)][static_cast<std::size_t>(sending.target)]);
        sendings_.push_back(std::move(sending));
    }

    void countArrival(AskedRest &asked)
    {
        if (clock_.now >= asked.countedFrom && clock_.now < asked.until) {
            mostArrivalsDuringRest_ = std::max(mostArrivalsDuringRest_, ++asked.arrivals);
        }
    }

    void endSendings()
    {
        std::deque<Sending> running;
        running.swap(sendings_);
        for (Sending &sending : running) {
            if (sending.endsAt > clock_.now) {
                sendings_.push_back(std::move(sending));
            } else {
                end(sending);
            }
        }
    }

    void end(const Sending &sending)
    {
        const ActiveService &service = *services_[static_cast<std::size_t>(sending.entry)];
        const Target &target = *service.targets[static_cast<std::size_t>(sending.target)];
        http::response_header<> response;
        response.result(sending.restSeconds > 0 ? 503 : 200);
        if (sending.restSeconds > 0) {
            response.set(http::field::retry_after, std::to_string(sending.restSeconds));
        }
        recordStatements(target, platform::dialectNamed("platform"), response, random_, clock_.now);
        releaseTarget(service, target);
        if (sending.restSeconds == 0) {
            ++served_[static_cast<std::size_t>(sending.target)];
            return;
        }
        noteRest(sending);
        send(sending.entry, sending.tried);
    }

    void noteRest(const Sending &sending)
    {
        ++rests_;
        served_[static_cast<std::size_t>(sending.target)] = 0;
        AskedRest &asked = asked_[static_cast<std::size_t>(sending.entry)]
                                 [static_cast<std::size_t>(sending.target)];
        if (clock_.now >= asked.until) {
            asked.countedFrom = clock_.now + settleTime;
            asked.arrivals = 0;
        }
        asked.until = std::max(asked.until, clock_.now + Seconds(sending.restSeconds));
    }

    VirtualClock clock_;
    Random random_;
    std::vector<std::shared_ptr<ActiveService>> services_; ///< by entry
    std::vector<std::vector<AskedRest>> asked_; ///< by entry and target
    std::vector<int> served_; ///< by target
    std::deque<Sending> sendings_;
    int mostArrivalsDuringRest_ = 0;
    int unplaced_ = 0;
    int rests_ = 0;
};

} // namespace

TEST_GROUP(TargetsRestInWaves) {};

// Guards against entries that go on sending to targets at rest while many of them return at once.
TEST(TargetsRestInWaves, noEntryDisturbsARestAndNoRequestIsLeftWithoutATarget)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        RestSimulation simulation(seed);
        simulation.run(waveInterval * waves + Seconds(8));
        CHECK_COMPARE(simulation.rests(), >, 10 * entryCount);
        CHECK_COMPARE(simulation.mostArrivalsDuringRest(), <=, maxDuringRest);
        LONGS_EQUAL(0, simulation.unplaced());
        for (int target = 0; target < targetCount; ++target) {
            CHECK_COMPARE(simulation.served(target), >, 0);
        }
    }
}
