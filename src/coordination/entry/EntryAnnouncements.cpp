// Announcements, drains and departures of targets that reach an entry without a control group.
#include "common/JsonReader.h"
#include "coordination/entry/EntryCoordinator.h"
#include "kumquat/Error.h"
#include "kumquat/Event.h"
#include "protocol/Announcement.h"
#include "protocol/Wire.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace kumquat {

namespace {

/// How long the response to a drain waits until another entry has the change.
constexpr Milliseconds propagationTimeout { 300 };
constexpr char drainSuffix[] = "/drain";

} // namespace

HttpResponse EntryCoordinator::announce(const HttpRequest &request, Yield yield)
{
    std::string name(request.target().substr(sizeof(wire::targetsPath) - 1));
    const bool isDrain = request.method() == http::verb::post && absl::EndsWith(name, drainSuffix);
    if (isDrain) {
        name.resize(name.size() - sizeof(drainSuffix) + 1);
    }
    if (isDrain || request.method() == http::verb::delete_) {
        const TargetRecord *existing = targets_.find(name);
        if (existing == nullptr) {
            return textResponse(http::status::not_found, "{\"error\":\"no such target\"}\n");
        }
        TargetRecord record = *existing;
        record.state = isDrain ? TargetState::draining : TargetState::gone;
        return applyAnnouncement(record, yield);
    }
    if (request.method() != http::verb::put || name.empty()) {
        return textResponse(http::status::method_not_allowed,
                            "{\"error\":\"use PUT or DELETE with a target's name\"}\n");
    }
    const auto record = parseAnnouncement(name, request.body());
    if (!record.ok()) {
        return errorResponse(http::status::bad_request, record.status());
    }
    return applyAnnouncement(*record, yield);
}

HttpResponse EntryCoordinator::applyAnnouncement(const TargetRecord &record, Yield yield)
{
    const TimePoint now = Clock::now();
    const TargetRecord *existing = targets_.find(record.name);
    const bool isOutdated = existing != nullptr && supersedes(*existing, record)
        && (existing->incarnation != record.incarnation || existing->state != record.state);
    if (isOutdated) {
        return errorResponse(
            http::status::conflict,
            makeError(ErrorKind::badMessage,
                      absl::StrCat(record.name, " is ", targetStateName(existing->state),
                                   " in incarnation ", existing->incarnation),
                      "announce a higher incarnation after a restart"));
    }
    leases_[record.name].lastHeardAt = now;
    bool propagated = true;
    if (targets_.merge(record, now)) {
        const bool isLeaving = record.state >= TargetState::draining;
        const Event event = record.state == TargetState::gone ? Event::targetGone
            : isLeaving                                       ? Event::targetDraining
                                                              : Event::targetAnnounced;
        logEvent(event, LogLevel::info, "target={} service={} state={}", record.name,
                 record.service, targetStateName(record.state));
        schedulePublish();
        propagated = waitForPropagation(record, yield);
    } else {
        setReachable(record, true, true);
        gossip_->forwardRenewal(record.name);
    }
    Json::Value body;
    body["leaseMs"] = record.leaseMs;
    body["spread"] = propagated;
    return textResponse(http::status::ok, writeJson(body) + "\n");
}

// A drain is acknowledged when another entry has it too, so that it survives a failure of this one.
// Returns true when another entry has the record, or when there is no other entry.
bool EntryCoordinator::waitForPropagation(const TargetRecord &record, Yield yield)
{
    const auto timer = std::make_shared<Timer>(loop_, propagationTimeout);
    const auto acknowledged = std::make_shared<bool>(gossip_->livePeers() == 0);
    gossip_->propagate(record, Clock::now(), [timer, acknowledged] {
        *acknowledged = true;
        timer->cancel();
    });
    if (!*acknowledged && record.state >= TargetState::draining) {
        ErrorCode ignored;
        timer->async_wait(yield[ignored]);
    }
    return *acknowledged;
}

} // namespace kumquat
