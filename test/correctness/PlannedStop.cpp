// During a planned stop a request starts only if its deadline leaves time to deliver the response.
#include "coordination/policy/PlannedStop.h"
#include "LoopbackTarget.h"

using namespace kumquat;

namespace {

constexpr TimePoint sigterm { Seconds(1'000) };
constexpr Milliseconds limit { 5'500 };

} // namespace

TEST_GROUP(PlannedStop)
{
    kumquat::PlannedStop stop;
};

TEST(PlannedStop, beforeItAnyRequestMayStart)
{
    CHECK_FALSE(stop.hasBegun());
    CHECK_TRUE(stop.mayStart(sigterm + Seconds(3'600)));
    CHECK_TRUE(stop.mayStart(TimePoint::max()));
}

// Guards against requests that are taken late in a planned stop and cut without a response.
TEST(PlannedStop, aRequestThatMayOutlastItIsNotStarted)
{
    stop.begin(sigterm, limit);
    CHECK_TRUE(stop.hasBegun());
    CHECK_TRUE(stop.mayStart(sigterm + Milliseconds(800)));
    CHECK_TRUE(stop.mayStart(sigterm + limit - PlannedStop::deliveryTime));
    CHECK_FALSE(stop.mayStart(sigterm + limit - PlannedStop::deliveryTime + Milliseconds(1)));
    CHECK_FALSE(stop.mayStart(sigterm + Seconds(20)));
}

TEST(PlannedStop, aSecondSignalDoesNotProlongIt)
{
    stop.begin(sigterm, limit);
    stop.begin(sigterm + Seconds(3), limit);
    CHECK_TRUE(stop.end() == sigterm + limit);
}

// Guards against requests that wait for a target when the stop begins, and are cut at its end.
TEST(PlannedStop, aRequestThatWaitsForATargetIsRefusedAtOnce)
{
    asio::io_context loop { 1 };
    EntryHooks hooks = test::idleHooks();
    hooks.mayStart = [this](TimePoint deadline) { return stop.mayStart(deadline); };
    Worker worker(loop, hooks, 1'000'000, 1);
    test::LoopbackTarget server(loop,
                                [](int, const std::string &) { return test::ResponseScript(); });
    ActiveService service;
    service.runtime = std::make_shared<ServiceRuntime>();
    service.targets = { server.target() };
    service.configuration.limits.queue = 1;
    const Target &target = *service.targets.front();
    while (target.stats->tryAcquire(service.inFlightLimitOf(target, Clock::now()))) { }
    RefusalReason reason = RefusalReason::noTarget;
    bool ended = false;
    spawnOn(loop, [&](Yield yield) {
        CurrentService current(std::shared_ptr<ActiveService>(&service, [](auto *) {}));
        CHECK_FALSE(waitForTarget(worker, current, {}, Clock::now() + Seconds(60), reason, yield));
        ended = true;
        loop.stop();
    });
    loop.run_for(Milliseconds(20));
    CHECK_FALSE(ended);
    stop.begin(Clock::now(), limit);
    loop.run_for(Seconds(10));
    CHECK_TRUE(ended);
    CHECK(reason == RefusalReason::stopping);
}
