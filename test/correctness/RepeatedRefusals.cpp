// A refusal counts as a proof of not having run only for the request that it answers.
#include "LoopbackTarget.h"
#include "coordination/entry/HostRouteExchange.h"
#include "coordination/entry/LoadProbe.h"
#include "platform/Dialect.h"

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr Milliseconds exchangeTimeout { 10'000 };
constexpr Milliseconds unansweredTimeout { 150 }; // of a request that gets no answer
constexpr Milliseconds shortPause { 10 };
constexpr std::size_t longBodyBytes = 4 * 1024 * 1024;
const std::vector<std::string> refusalStatuses = { "503", "429", "421", "400" };

std::string idLine(const std::string &id)
{
    return id.empty() ? "" : "Kumquatdeal-Request-Id: " + id + "\r\n";
}

std::string refusalOf(const std::string &id, const std::string &status = "503")
{
    return "HTTP/1.1 " + status + " Refused\r\nKumquatdeal-Not-Executed: 1\r\n" + idLine(id)
        + "Content-Length: 2\r\n\r\n{}";
}

std::string answerTo(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nKumquatdeal-Response-Stamp: s\r\n" + idLine(id)
        + "Content-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
}

std::string inTwo(ResponseScript &script, const std::string &bytes)
{
    const std::size_t half = bytes.size() / 2;
    script.push_back({ bytes.substr(0, half) });
    return bytes.substr(half);
}

} // namespace

TEST_GROUP(RepeatedRefusals)
{
    asio::io_context loop { 1 };
    EntryHooks hooks = idleHooks();
    Worker worker { loop, hooks, 96 * 1024 * 1024, 1 };
    const Dialect &dialect = platform::dialectNamed("platform");
    Milliseconds timeout = exchangeTimeout;

    ExchangeResult exchange(const TargetPtr &target, const std::string &id, Yield yield,
                            std::size_t bodyBytes = 0, bool idempotent = false)
    {
        HttpRequest message(bodyBytes > 0 ? http::verb::post : http::verb::get, "/x", 11);
        if (!id.empty()) {
            message.set("Kumquatdeal-Request-Id", id);
        }
        message.body().assign(bodyBytes, 'b');
        message.prepare_payload();
        ExchangeRequest request { worker,     dialect, target, message, id, Clock::now() + timeout,
                                  idempotent, {} };
        return runExchange(request, yield);
    }

    /// The outcome of a second request on a connection whose first one was refused honestly; the
    /// target answers the second one by \p script.
    ExchangeResult second(const ResponseScript &script, std::size_t bodyBytes = 0,
                          bool idempotent = false, Milliseconds secondTimeout = exchangeTimeout)
    {
        LoopbackTarget server(loop, [script](int exchange, const std::string &) {
            return exchange == 0 ? ResponseScript { { refusalOf("a") } } : script;
        });
        ExchangeResult refused;
        ExchangeResult result;
        runOn(loop, [&](Yield yield) {
            const TargetPtr target = server.target();
            refused = exchange(target, "a", yield);
            timeout = secondTimeout;
            result = exchange(target, "b", yield, bodyBytes, idempotent);
            timeout = exchangeTimeout;
        });
        CHECK_TRUE(provesNotRun(refused.outcome));
        LONGS_EQUAL(1, server.connections());
        return result;
    }

    ExchangeResult first(const ResponseScript &script, const std::string &id,
                         std::size_t bodyBytes = 0)
    {
        LoopbackTarget server(loop, [script](int, const std::string &) { return script; });
        ExchangeResult result;
        runOn(loop, [&](Yield yield) { result = exchange(server.target(), id, yield, bodyBytes); });
        return result;
    }

    void checkAnswered(const ExchangeResult &result, const std::string &what)
    {
        checkProperty(result.outcome == ExchangeOutcome::completed
                          && result.response.result_int() == 200 && result.response.body() == "b",
                      what + ": " + exchangeOutcomeName(result.outcome));
    }
};

TEST(RepeatedRefusals, aRefusalWrittenOnceMoreAheadOfTheAnswerRefusesNothing)
{
    for (const std::string &status : refusalStatuses) {
        for (const std::string id : { "", "a" }) {
            for (const std::size_t bodyBytes :
                 { std::size_t(0), std::size_t(100), longBodyBytes }) {
                const std::string copy = refusalOf(id, status);
                const std::string what
                    = status + " id=" + id + " body=" + std::to_string(bodyBytes);
                checkAnswered(second({ { copy + answerTo("b") } }, bodyBytes), what + " at once");
                checkAnswered(second({ { copy }, { answerTo("b"), EndOfPart::keep, shortPause } },
                                     bodyBytes, true),
                              what + " before");
                ResponseScript cut;
                const std::string rest = inTwo(cut, copy);
                cut.push_back({ rest + answerTo("b"), EndOfPart::keep, shortPause });
                checkAnswered(second(cut, bodyBytes), what + " in two parts");
            }
        }
    }
}

TEST(RepeatedRefusals, aRefusalWrittenOnceMoreInsteadOfTheAnswerIsNoProof)
{
    for (const std::string &status : refusalStatuses) {
        for (const std::string id : { "", "a" }) {
            for (const EndOfPart end : { EndOfPart::keep, EndOfPart::close, EndOfPart::reset }) {
                const ExchangeResult result
                    = second({ { refusalOf(id, status), end } }, 0, false, unansweredTimeout);
                checkProperty(!provesNotRun(result.outcome)
                                  && result.outcome != ExchangeOutcome::completed,
                              status + " id=" + id + ": " + exchangeOutcomeName(result.outcome));
            }
        }
    }
}

TEST(RepeatedRefusals, aRefusalWrittenOnceMoreBehindTheFirstEndsTheConnection)
{
    for (const std::string id : { "", "a" }) {
        for (const bool later : { false, true }) {
            LoopbackTarget server(loop, [id, later](int, const std::string &header) {
                if (header.find(": a\r\n") == std::string::npos) {
                    return ResponseScript { { answerTo("b") } };
                }
                return later ? ResponseScript { { refusalOf("a") }, { refusalOf(id) } }
                             : ResponseScript { { refusalOf("a") + refusalOf(id) } };
            });
            ExchangeResult refused;
            ExchangeResult result;
            runOn(loop, [&](Yield yield) {
                const TargetPtr target = server.target();
                refused = exchange(target, "a", yield);
                pauseFor(loop, shortPause, yield);
                result = exchange(target, "b", yield);
            });
            CHECK_TRUE(provesNotRun(refused.outcome));
            checkAnswered(result, "id=" + id);
            LONGS_EQUAL(2, server.connections());
        }
    }
}

TEST(RepeatedRefusals, aProbesRefusalWrittenOnceMoreRefusesNothing)
{
    auto service = std::make_shared<ActiveService>();
    service->configuration.healthPath = "/health";
    service->runtime = std::make_shared<ServiceRuntime>();
    service->runtime->loadProbeBudget = TokenBucket(100, 100);
    LoopbackTarget server(loop, [](int exchange, const std::string &) {
        return exchange == 0 ? ResponseScript { { refusalOf("") } }
                             : ResponseScript { { refusalOf("") + answerTo("b") } };
    });
    ExchangeResult result;
    runOn(loop, [&](Yield yield) {
        const TargetPtr target = server.target();
        probeLoad(worker, dialect, *service, { target }, exchangeTimeout, yield);
        result = exchange(target, "b", yield);
    });
    checkAnswered(result, "after a probe");
    LONGS_EQUAL(1, server.connections());
}

TEST(RepeatedRefusals, theRefusalOfThisRequestIsStillAProof)
{
    for (const std::string &status : refusalStatuses) {
        for (const std::size_t bodyBytes : { std::size_t(0), longBodyBytes }) {
            const std::string refusal = refusalOf("b", status);
            const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
                                        "Link: x\r\n\r\n";
            for (const std::string &bytes :
                 { refusal, interim + refusal, refusalOf("a", status) + refusal }) {
                CHECK_TRUE(provesNotRun(second({ { bytes } }, bodyBytes).outcome));
                CHECK_TRUE(provesNotRun(first({ { bytes } }, "b", bodyBytes).outcome));
            }
        }
    }
    CHECK_TRUE(second({ { refusalOf("b", "421") } }).misdirected);
}

TEST(RepeatedRefusals, aRefusalWithoutTheRequestsIdIsNoProofOnANewConnectionEither)
{
    for (const std::string &status : refusalStatuses) {
        const ExchangeResult result = first({ { refusalOf("", status) } }, "b");
        CHECK_FALSE(provesNotRun(result.outcome));
    }
}

// "400 without an id": there is nothing that the target could echo.
TEST(RepeatedRefusals, aRequestWithoutAnIdIsRefusedOnlyOnAConnectionOfItsOwn)
{
    CHECK_TRUE(provesNotRun(first({ { refusalOf("", "400") } }, "").outcome));
    LoopbackTarget server(loop, [](int, const std::string &header) {
        const bool named = header.find("Request-Id") != std::string::npos;
        return ResponseScript { { named ? answerTo("b") : refusalOf("", "400") } };
    });
    ExchangeResult answered;
    ExchangeResult refused;
    runOn(loop, [&](Yield yield) {
        const TargetPtr target = server.target();
        answered = exchange(target, "b", yield);
        refused = exchange(target, "", yield);
    });
    checkAnswered(answered, "first");
    CHECK_TRUE(provesNotRun(refused.outcome));
    LONGS_EQUAL(2, server.connections());
}

TEST(RepeatedRefusals, aSuccessThatClaimsNotToHaveRunIsNoProof)
{
    std::string answer = answerTo("b");
    answer.insert(answer.find("\r\n") + 2, "Kumquatdeal-Not-Executed: 1\r\n");
    const ExchangeResult result = first({ { answer } }, "b");
    CHECK_FALSE(provesNotRun(result.outcome));
}

TEST(RepeatedRefusals, anErrorWrittenOnceMoreAnswersNobody)
{
    for (const std::string id : { "", "a" }) {
        const std::string error
            = "HTTP/1.1 500 Error\r\n" + idLine(id) + "Content-Length: 2\r\n\r\n{}";
        checkAnswered(second({ { error + answerTo("b") } }), "id=" + id);
        const ExchangeResult alone = second({ { error } }, 0, false, unansweredTimeout);
        CHECK_FALSE(alone.outcome == ExchangeOutcome::completed);
    }
}
