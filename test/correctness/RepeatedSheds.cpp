// In the product's own dialect, which has no request IDs, a shed is a proof only for the first
// request of a connection.
#include "LoopbackTarget.h"

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr Milliseconds attemptTimeout { 10'000 };
const std::string shed
    = "HTTP/1.1 503 Busy\r\nKumquat-Shed: not-run\r\nContent-Length: 2\r\n\r\n{}";
const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb";

} // namespace

TEST_GROUP(RepeatedSheds)
{
    asio::io_context loop { 1 };
    EntryHooks hooks = idleHooks();
    Worker worker { loop, hooks, 96 * 1024 * 1024, 1 };
    std::shared_ptr<ActiveService> service = std::make_shared<ActiveService>();

    void setup() override
    {
        service->runtime = std::make_shared<ServiceRuntime>();
    }

    AttemptOutcome attempt(const TargetPtr &target, bool requireNewConnection, Yield yield)
    {
        AttemptOptions options;
        options.deadline = Clock::now() + attemptTimeout;
        options.maxIdle = attemptTimeout;
        options.requireNewConnection = requireNewConnection;
        AttemptHandle handle;
        return runAttempt(worker, *service, target, HttpRequest(http::verb::get, "/x", 11), options,
                          handle, yield)
            .outcome;
    }
};

TEST(RepeatedSheds, aShedWrittenOnceMoreRefusesNothingAndEndsTheConnection)
{
    for (const std::string &second : { shed, shed + answer }) {
        LoopbackTarget server(loop, [second](int exchange, const std::string &) {
            return ResponseScript { { exchange == 0 ? shed : second } };
        });
        std::vector<AttemptOutcome> outcomes;
        runOn(loop, [&](Yield yield) {
            const TargetPtr target = server.target();
            for (int i = 0; i < 3; ++i) {
                outcomes.push_back(attempt(target, false, yield));
            }
        });
        CHECK_TRUE(provesNotRun(outcomes[0]));
        CHECK_FALSE(provesNotRun(outcomes[1]));
        CHECK_TRUE(provesNotRun(outcomes[2]));
        LONGS_EQUAL(2, server.connections());
    }
}

TEST(RepeatedSheds, aShedOnANewConnectionIsStillAProof)
{
    LoopbackTarget server(loop,
                          [](int, const std::string &) { return ResponseScript { { shed } }; });
    std::vector<AttemptOutcome> outcomes;
    runOn(loop, [&](Yield yield) {
        const TargetPtr target = server.target();
        for (int i = 0; i < 3; ++i) {
            outcomes.push_back(attempt(target, true, yield));
        }
    });
    for (const AttemptOutcome outcome : outcomes) {
        CHECK_TRUE(provesNotRun(outcome));
    }
}
