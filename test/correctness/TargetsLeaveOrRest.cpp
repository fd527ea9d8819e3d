// Targets that say in a response that they leave, or that they want no requests for a while.
#include "LoopbackTarget.h"
#include "coordination/entry/ServiceRuntime.h"
#include "coordination/entry/TargetStatements.h"
#include "platform/Dialect.h"
#include "platform/Target.h"

#include <map>

using namespace kumquat;
using kumquat::test::VirtualClock;

namespace {

constexpr unsigned unavailable = 503;

const Dialect &dialect()
{
    return platform::dialectNamed("platform");
}

http::response_header<> response(unsigned status)
{
    http::response_header<> header;
    header.result(status);
    return header;
}

http::response_header<> leavingResponse(unsigned status = 200)
{
    auto header = response(status);
    platform::markLeaving(header);
    return header;
}

http::response_header<> restResponse(const std::string &value, unsigned status = unavailable)
{
    auto header = response(status);
    header.set(http::field::retry_after, value);
    return header;
}

std::int64_t restMs(const std::string &value, unsigned status = unavailable)
{
    const auto rest = dialect().requestedRest(status, restResponse(value, status));
    return rest ? rest->count() : -1;
}

/// A target as the tests announce it: several incarnations may share what they said.
Target makeTarget(const std::string &name, std::uint64_t incarnation,
                  std::shared_ptr<TargetLeaving> leaving = std::make_shared<TargetLeaving>())
{
    Target target;
    target.record.name = name;
    target.record.state = TargetState::ready;
    target.record.incarnation = incarnation;
    target.record.slots = 4;
    target.stats = std::make_shared<TargetStats>(incarnation, std::move(leaving));
    return target;
}

std::shared_ptr<ActiveService> makeService(const std::vector<Target> &targets)
{
    auto service = std::make_shared<ActiveService>();
    service->runtime = std::make_shared<ServiceRuntime>();
    for (const Target &target : targets) {
        service->targets.push_back(std::make_shared<const Target>(target));
    }
    return service;
}

} // namespace

TEST_GROUP(TargetsLeaveOrRest)
{
    VirtualClock clock;
    Random random { 1 };

    void receive(const Target &target, const http::response_header<> &header)
    {
        recordStatements(target, dialect(), header, random, clock.now);
    }
    bool isCandidate(const Target &target)
    {
        const auto service = makeService({ target });
        return !placementCandidates(*service, PlacementScope::subset, {}, clock.now).empty();
    }
};

TEST(TargetsLeaveOrRest, aTargetThatSaidItLeavesGetsNothingHoweverOftenItAnnouncesItself)
{
    Target target = makeTarget("a", 7);
    CHECK_TRUE(isCandidate(target));
    receive(target, leavingResponse());
    CHECK_FALSE(isCandidate(target));
    target.record.version += 100;
    clock.advance(Seconds(86'400));
    receive(target, response(200));
    target.stats->markReady(clock.now, Milliseconds(0));
    CHECK_FALSE(isUsable(target, clock.now));
    CHECK_FALSE(isCandidate(target));
}

TEST(TargetsLeaveOrRest, everyStatusMaySayThatTheTargetLeaves)
{
    for (const unsigned status : { 200U, 204U, 400U, 404U, 429U, 500U, 503U, 504U }) {
        const Target target = makeTarget("a", 7);
        receive(target, leavingResponse(status));
        CHECK_FALSE(isCandidate(target));
    }
}

TEST(TargetsLeaveOrRest, aNewerIncarnationServesAndAnOlderOneStaysAway)
{
    const auto leaving = std::make_shared<TargetLeaving>();
    const Target old = makeTarget("a", 7, leaving);
    receive(old, leavingResponse());
    const Target restarted = makeTarget("a", 8, leaving);
    CHECK_TRUE(isCandidate(restarted));
    // A late response of the old incarnation says nothing about the new one.
    receive(old, leavingResponse());
    CHECK_TRUE(isCandidate(restarted));
    // An older list names the old incarnation once more, which gets new statistics.
    CHECK_FALSE(isCandidate(makeTarget("a", 7, leaving)));
    CHECK_FALSE(isCandidate(makeTarget("a", 3, leaving)));
}

TEST(TargetsLeaveOrRest, anotherTargetAtTheSameAddressIsNotMeant)
{
    const Target target = makeTarget("a", 7);
    receive(target, leavingResponse(421));
    auto header = leavingResponse();
    header.set(dialect().headers.respondingTarget, "b");
    receive(target, header);
    auto rest = restResponse("5");
    rest.set(dialect().headers.respondingTarget, "b");
    receive(target, rest);
    CHECK_TRUE(isCandidate(target));
    header.set(dialect().headers.respondingTarget, "a");
    receive(target, header);
    CHECK_FALSE(isCandidate(target));
}

TEST(TargetsLeaveOrRest, onlyAZeroSaysThatATargetStays)
{
    const std::map<std::string, bool> values
        = { { "1", true }, { " 1 ", true }, { "true", true }, { "0", false }, { " 0", false } };
    for (const auto &value : values) {
        auto header = response(200);
        header.set(dialect().headers.leaving, value.first);
        CHECK_EQUAL(value.second, dialect().saysLeaving(header));
    }
    CHECK_FALSE(dialect().saysLeaving(response(200)));
    CHECK_FALSE(kumquatDialect().saysLeaving(leavingResponse()));
}

TEST(TargetsLeaveOrRest, allFormsOfRetryAfterAreRead)
{
    const std::map<std::string, std::int64_t> forms = {
        { "2", 2'000 },
        { "0.75", 750 },
        { ".5", 500 },
        { "0.0001", 1 },
        { " 3 ", 3'000 },
        { "+2", 2'000 },
        { "0", 0 },
        { "0.0", 0 },
        { "-5", 0 },
        { "-99999999999999999999999", 0 },
        { "86400", 86'400'000 },
        { "99999999999999999999999", 86'400'000 },
        { std::string(400, '9'), 86'400'000 },
        { "Fri, 31 Dec 1999 23:59:59 GMT", 1'000 },
        { "Fri, 31 Dec 2999 23:59:59 GMT", 1'000 },
        { "soon", 1'000 },
        { "", 1'000 },
        { "1.2.3", 1'000 },
        { "--1", 1'000 },
        { "5s", 1'000 },
        { "nan", 1'000 },
        { "inf", 1'000 },
        { "0x10", 1'000 },
    };
    for (const auto &form : forms) {
        CHECK_EQUAL_TEXT(form.second, restMs(form.first), form.first.c_str());
    }
    auto twice = restResponse("1");
    twice.insert(http::field::retry_after, "4");
    LONGS_EQUAL(4'000, dialect().requestedRest(unavailable, twice)->count());
}

TEST(TargetsLeaveOrRest, onlyA503AsksForRest)
{
    for (const unsigned status : { 200U, 301U, 421U, 429U, 500U, 502U, 504U }) {
        LONGS_EQUAL(-1, restMs("5", status));
    }
    CHECK_FALSE(dialect().requestedRest(unavailable, response(unavailable)).has_value());
    CHECK_FALSE(kumquatDialect().requestedRest(unavailable, restResponse("5")).has_value());
}

TEST(TargetsLeaveOrRest, aRestingTargetGetsNothingUntilTheEndOfItsRest)
{
    const Target target = makeTarget("a", 7);
    receive(target, restResponse("2"));
    CHECK_FALSE(isCandidate(target));
    clock.advance(Milliseconds(1'999));
    CHECK_FALSE(isCandidate(target));
    // Entries return at different times, at most a quarter of the rest later.
    clock.advance(Milliseconds(502));
    CHECK_TRUE(isCandidate(target));
}

TEST(TargetsLeaveOrRest, noRequestLeavesOnAConnectionThatWasOpenedAsTheRestBegan)
{
    asio::io_context loop { 1 };
    const EntryHooks hooks = kumquat::test::idleHooks();
    Worker worker { loop, hooks, 1024 * 1024, 1 };
    const kumquat::test::LoopbackTarget server(
        loop, [](int, const std::string &) { return kumquat::test::ResponseScript {}; });
    const TargetPtr target = server.target();
    AttemptOptions options;
    options.deadline = Clock::now() + Seconds(1);
    kumquat::test::runOn(loop, [&](Yield yield) {
        AttemptHandle handle;
        CHECK_TRUE(connectTo(worker, *target, options, handle, yield) != nullptr);
        spawnOn(loop, [&](Yield) { target->stats->rest().record(Seconds(5), 0, Clock::now()); });
        CHECK_TRUE(connectTo(worker, *target, options, handle, yield) == nullptr);
        CHECK_TRUE(handle.connection == nullptr);
    });
}

TEST(TargetsLeaveOrRest, aLongerRestExtendsAndAShorterOneNeverShortens)
{
    TargetRest rest;
    CHECK_TRUE(rest.record(Seconds(4), 0, clock.now));
    const TimePoint first = rest.until();
    CHECK_FALSE(rest.record(Seconds(1), 0, clock.now));
    CHECK_FALSE(rest.record(Seconds(0), 0, clock.now));
    CHECK_FALSE(rest.record(Seconds(-9), 0, clock.now));
    CHECK_TRUE(first == rest.until());
    CHECK_TRUE(rest.record(Seconds(6), 0, clock.now));
    CHECK_TRUE(rest.until() == first + Seconds(2));
    // After four seconds a shorter rest ends later than the first one.
    clock.advance(Seconds(4));
    CHECK_TRUE(rest.record(Seconds(3), 0, clock.now));
    CHECK_TRUE(rest.until() == clock.now + Seconds(3));
}

TEST(TargetsLeaveOrRest, aTargetThatAsksForDaysIsAskedAgainAfterABound)
{
    TargetRest rest;
    CHECK_TRUE(rest.record(Seconds(10 * 86'400), 0, clock.now));
    CHECK_TRUE(rest.until() == clock.now + TargetRest::maxRest);
}

TEST(TargetsLeaveOrRest, aNewerIncarnationDoesNotRest)
{
    const auto leaving = std::make_shared<TargetLeaving>();
    const Target old = makeTarget("a", 7, leaving);
    const Target restarted = makeTarget("a", 8, leaving);
    receive(old, restResponse("60"));
    CHECK_FALSE(isCandidate(old));
    CHECK_TRUE(isCandidate(restarted));
}

TEST(TargetsLeaveOrRest, requestsReturnGraduallyAndEntriesAtDifferentTimes)
{
    TargetRest rest;
    rest.record(Seconds(4), 0, clock.now);
    LONGS_EQUAL(0, rest.concurrencyLimit(8, clock.now));
    clock.advance(Seconds(4));
    LONGS_EQUAL(1, rest.concurrencyLimit(8, clock.now));
    clock.advance(TargetRest::returnTime / 2);
    LONGS_EQUAL(4, rest.concurrencyLimit(8, clock.now));
    clock.advance(TargetRest::returnTime / 2);
    LONGS_EQUAL(8, rest.concurrencyLimit(8, clock.now));
    LONGS_EQUAL(8, TargetRest().concurrencyLimit(8, clock.now));

    constexpr int entries = 300;
    std::map<TimePoint, int> returns;
    for (int entry = 0; entry < entries; ++entry) {
        TargetRest other;
        other.record(Seconds(4), random(), clock.now);
        CHECK_TRUE(other.until() >= clock.now + Seconds(4));
        ++returns[other.until()];
    }
    // In no part of 100 ms does more than a fifth of the entries return.
    std::map<std::int64_t, int> parts;
    for (const auto &time : returns) {
        parts[(time.first - clock.now) / Milliseconds(100)] += time.second;
    }
    for (const auto &part : parts) {
        CHECK_TRUE(part.second < entries / 5);
    }
}

TEST(TargetsLeaveOrRest, anyOrderOfResponsesKeepsTheLongestRest)
{
    kumquat::test::checkProperty(
        rc::check("the rest ends with the longest one asked for",
                  [](const std::vector<std::pair<int, int>> &asked) {
                      VirtualClock time;
                      TargetRest rest;
                      TimePoint expected;
                      for (const auto &item : asked) {
                          time.advance(Milliseconds(item.first & 0xfff));
                          const Milliseconds length { item.second % 100'000 };
                          rest.record(length, 0, time.now);
                          expected = length.count() > 0 ? std::max(expected, time.now + length)
                                                        : expected;
                          RC_ASSERT(rest.until() == expected);
                      }
                  }),
        "the rest ends with the longest one asked for");
}

TEST(TargetsLeaveOrRest, requestsAreRefusedAtOnceWhenAllTargetsLeaveOrRest)
{
    const std::vector<Target> targets
        = { makeTarget("a", 1), makeTarget("b", 1), makeTarget("c", 1) };
    const auto service = makeService(targets);
    CHECK_FALSE(timeUntilReturn(*service, clock.now).has_value());
    receive(targets[0], leavingResponse());
    receive(targets[1], restResponse("60"));
    CHECK_TRUE(hasUntriedTarget(*service, { "a", "b" }, clock.now));
    CHECK_FALSE(hasUntriedTarget(*service, { "c" }, clock.now));
    receive(targets[2], restResponse("2"));
    CHECK_FALSE(hasUntriedTarget(*service, {}, clock.now));
    const auto left = timeUntilReturn(*service, clock.now);
    CHECK_TRUE(left >= Milliseconds(2'000) && left <= Milliseconds(2'500));
    // A target that leaves does not return, whenever its rest ends.
    receive(targets[2], leavingResponse());
    CHECK_TRUE(timeUntilReturn(*service, clock.now) >= Milliseconds(60'000));
}

TEST(TargetsLeaveOrRest, refusedCallersReturnAfterTheRestAndSpreadOut)
{
    std::map<std::int64_t, int> parts;
    for (int caller = 0; caller < 1'000; ++caller) {
        const Milliseconds pause = retryAfterRest(Seconds(2), Milliseconds(50), random());
        CHECK_TRUE(pause >= Seconds(2) && pause <= Seconds(2) + TargetRest::returnTime);
        ++parts[pause.count() / 100];
    }
    CHECK_TRUE(parts.size() >= 10);
    CHECK_TRUE(retryAfterRest(Milliseconds(1), Milliseconds(50), 0) == Milliseconds(50));
}
