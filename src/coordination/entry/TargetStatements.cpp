#include "coordination/entry/TargetStatements.h"

#include "kumquat/Event.h"

namespace kumquat {

namespace {

constexpr unsigned misdirectedRequest = 421;

void recordLeaving(const Target &target, unsigned status)
{
    if (target.stats->recordLeaving()) {
        logEvent(Event::targetSaidLeaving, LogLevel::info, "target={} incarnation={} status={}",
                 target.record.name, target.record.incarnation, status);
    }
}

void recordRest(const Target &target, Milliseconds asked, Random &random, TimePoint now)
{
    TargetRest &rest = target.stats->rest();
    if (rest.record(asked, random(), now)) {
        logEvent(Event::targetRests, LogLevel::info,
                 "target={} incarnation={} askedMs={} restMs={}", target.record.name,
                 target.record.incarnation, asked.count(),
                 static_cast<std::int64_t>(toMilliseconds(rest.until() - now)));
    }
}

void recordWarmup(const Target &target, Milliseconds remaining, TimePoint now)
{
    if (target.stats->coldLimit().recordRemaining(remaining, now) && target.hasColdLimit) {
        logEvent(Event::targetTurnedCold, LogLevel::info,
                 "target={} incarnation={} source=response remainingMs={}", target.record.name,
                 target.record.incarnation, remaining.count());
    }
}

} // namespace

bool comesFrom(const Target &target, const HeaderNames &names, unsigned status,
               const http::fields &response)
{
    const auto named
        = names.respondingTarget.empty() ? response.end() : response.find(names.respondingTarget);
    if (named == response.end()) {
        return status != misdirectedRequest;
    }
    return std::string(named->value()) == target.record.name;
}

void recordStatements(const Target &target, const Dialect &dialect,
                      const http::response_header<> &response, Random &random, TimePoint now)
{
    const unsigned status = response.result_int();
    if (!comesFrom(target, dialect.headers, status, response)) {
        return;
    }
    (void)target.stats->coldLimit().recordContact(now);
    const auto warmup = dialect.remainingWarmup(response);
    if (warmup) {
        recordWarmup(target, *warmup, now);
    }
    if (dialect.saysLeaving(response)) {
        recordLeaving(target, status);
    }
    const auto rest = dialect.requestedRest(status, response);
    if (rest) {
        recordRest(target, *rest, random, now);
    }
}

void recordUnreachable(const Target &target, TimePoint now)
{
    target.stats->coldLimit().recordUnreachable(now);
}

void recordUnanswered(const Target &target, TimePoint now)
{
    target.stats->markUnresponsive(now);
    (void)target.stats->coldLimit().recordSilence(now);
}

} // namespace kumquat
