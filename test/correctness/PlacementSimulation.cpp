// Replays a load that shifts within the time of a request and compares ways of placing.
// Entries know only what they have asked for or what answers have told them.
#include "TestSupport.h"
#include "common/Random.h"
#include "kumquat/Placement.h"

#include <algorithm>
#include <functional>

using namespace kumquat;

namespace {

/// The served systems, in steps of a millisecond.
struct Load
{
    int entries = 7;
    int targets = 22;
    int slots = 2;
    double workMs = 160;
    double objectiveMs = 400;
    double perSecond = 85;
    double slowShare = 0.25;
    double slowPace = 4;
    double redrawMs = 300;
    int lengthMs = 20'000;
};

struct Running
{
    double leftMs;
    int entry;
    int startedAt;
};

struct ReplayTarget
{
    double pace = 1;
    std::vector<Running> running;
    std::vector<Running> waiting;
};

struct Known
{
    double foreign = 0;
    double pace = 1;
    int at = -1;
};

using Place = std::function<std::size_t(int entry, int now)>;

class Replay
{
public:
    Replay(const Load &load, std::uint64_t seed)
        : load_(load), random_(seed), targets_(static_cast<std::size_t>(load.targets)),
          known_(static_cast<std::size_t>(load.entries),
                 std::vector<Known>(static_cast<std::size_t>(load.targets)))
    {
    }

    /// The share of requests that were answered within the objective.
    double run(const Place &place)
    {
        int offered = 0;
        for (int now = 0; now < load_.lengthMs; ++now) {
            shift();
            if (chance(load_.perSecond / 1'000)) {
                ++offered;
                const int entry = static_cast<int>(
                    randomBelow(random_, static_cast<std::size_t>(load_.entries)));
                const std::size_t at = place(entry, now);
                if (at < targets_.size()) {
                    targets_[at].waiting.push_back({ load_.workMs, entry, now });
                }
            }
            work(now);
        }
        return static_cast<double>(inTime_) / offered;
    }

    std::vector<PlacementCandidate> views(int entry, int now) const
    {
        std::vector<PlacementCandidate> result(targets_.size());
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            const Known &known = known_[static_cast<std::size_t>(entry)][i];
            result[i].index = i;
            result[i].slots = load_.slots;
            result[i].inFlight = ownAt(i, entry);
            result[i].foreignLoad = known.foreign;
            result[i].slowdown = known.pace;
            result[i].hasReport = known.at >= 0;
            result[i].reportAge = Milliseconds(now - known.at);
        }
        return result;
    }

    void ask(int entry, std::size_t target, int now)
    {
        const ReplayTarget &asked = targets_[target];
        Known &known = known_[static_cast<std::size_t>(entry)][target];
        const auto there = static_cast<int>(asked.running.size() + asked.waiting.size());
        known = { static_cast<double>(there - ownAt(target, entry)), asked.pace, now };
    }

    std::uint64_t random() { return random_(); }
    std::size_t size() const { return targets_.size(); }
    int ownAt(std::size_t target, int entry) const
    {
        const auto mine = [entry](const Running &request) { return request.entry == entry; };
        const ReplayTarget &at = targets_[target];
        return static_cast<int>(std::count_if(at.running.begin(), at.running.end(), mine)
                                + std::count_if(at.waiting.begin(), at.waiting.end(), mine));
    }

private:
    bool chance(double share) { return static_cast<double>(random_() >> 11U) * 0x1p-53 < share; }

    void shift()
    {
        for (ReplayTarget &target : targets_) {
            if (chance(1 / load_.redrawMs)) {
                target.pace = chance(load_.slowShare) ? load_.slowPace : 1;
            }
        }
    }

    void work(int now)
    {
        for (ReplayTarget &target : targets_) {
            while (!target.waiting.empty()
                   && static_cast<int>(target.running.size()) < load_.slots) {
                target.running.push_back(target.waiting.front());
                target.waiting.erase(target.waiting.begin());
            }
            const double knee = static_cast<int>(target.running.size()) == load_.slots ? 1.7 : 1;
            for (Running &request : target.running) {
                request.leftMs -= 1 / (target.pace * knee);
            }
            const auto ended
                = std::partition(target.running.begin(), target.running.end(),
                                 [](const Running &request) { return request.leftMs > 0; });
            for (auto request = ended; request != target.running.end(); ++request) {
                inTime_ += now - request->startedAt <= load_.objectiveMs ? 1 : 0;
            }
            target.running.erase(ended, target.running.end());
        }
    }

    const Load load_;
    Random random_;
    std::vector<ReplayTarget> targets_;
    std::vector<std::vector<Known>> known_;
    int inTime_ = 0;
};

double shareInTime(std::size_t questions, std::uint64_t seed)
{
    Replay replay(Load(), seed);
    return replay.run([&replay, questions](int entry, int now) {
        const auto asked = targetsToQuery(replay.views(entry, now), questions, replay.random());
        for (const std::size_t target : asked) {
            replay.ask(entry, target, now);
        }
        return selectTarget(replay.views(entry, now), replay.random());
    });
}

double shareByOwnCount(std::uint64_t seed)
{
    Replay replay(Load(), seed);
    return replay.run([&replay](int entry, int) {
        std::size_t best = replay.random() % replay.size();
        for (std::size_t i = 0; i < replay.size(); ++i) {
            best = replay.ownAt(i, entry) < replay.ownAt(best, entry) ? i : best;
        }
        return best;
    });
}

/// A burst at targets of four slots: more than they can do.
Load burst()
{
    Load load;
    load.entries = 6;
    load.targets = 20;
    load.slots = 4;
    load.workMs = 71;
    load.objectiveMs = 200;
    load.perSecond = 600;
    load.slowShare = 0.35;
    load.lengthMs = 5'000;
    return load;
}

/// Places at the least slow target with less than \p limit requests, as far as is known.
double shareUpTo(int limit, std::uint64_t seed)
{
    Replay replay(burst(), seed);
    return replay.run([&replay, limit](int entry, int now) {
        constexpr std::size_t questions = 8;
        for (const std::size_t target :
             targetsToQuery(replay.views(entry, now), questions, replay.random())) {
            replay.ask(entry, target, now);
        }
        std::size_t best = replay.size();
        double least = std::numeric_limits<double>::max();
        for (const PlacementCandidate &view : replay.views(entry, now)) {
            const double slowness = expectedSlowdown(view);
            if (view.inFlight + view.foreignLoad < limit && slowness < least) {
                least = slowness;
                best = view.index;
            }
        }
        return best;
    });
}

double mean(const std::function<double(std::uint64_t)> &share)
{
    constexpr std::uint64_t seeds = 4;
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        sum += share(seed);
    }
    return sum / seeds;
}

} // namespace

TEST_GROUP(PlacementReplay) {};

// The bounds are what the deployment's users ask of a quiet day and what a trial of the ways of
// placing gave: questions are worth ten points or more over an entry's own count.
TEST(PlacementReplay, questionsJustBeforePlacingBeatAnEntrysOwnCount)
{
    const double own = mean(shareByOwnCount);
    const double asked = mean([](std::uint64_t seed) { return shareInTime(8, seed); });
    CHECK_TRUE(asked >= own + 0.10);
}

TEST(PlacementReplay, moreQuestionsAreWorthMore)
{
    const double few = mean([](std::uint64_t seed) { return shareInTime(2, seed); });
    const double many = mean([](std::uint64_t seed) { return shareInTime(14, seed); });
    CHECK_TRUE(many > few);
}

TEST(PlacementReplay, aBurstIsServedBetterWithoutTheLastSlotOfFour)
{
    LONGS_EQUAL(3, optimalConcurrency(4));
    LONGS_EQUAL(2, optimalConcurrency(2));
    LONGS_EQUAL(1, optimalConcurrency(1));
    const double all = mean([](std::uint64_t seed) { return shareUpTo(4, seed); });
    const double useful = mean([](std::uint64_t seed) { return shareUpTo(optimalConcurrency(4), seed); });
    CHECK_TRUE(useful >= all + 0.05);
}
