#include "Behaviour.h"

#include "common/JsonReader.h"

namespace kumquat::standin {

absl::Status applyChanges(Behaviour &behaviour, const Json::Value &changes)
{
    JsonProblems problems("behaviour");
    JsonObject object(changes, "", problems);
    behaviour.meanWorkMs = object.number("meanWorkMs", 0, 60'000, behaviour.meanWorkMs);
    const std::string shape = object.text(
        "shape", behaviour.shape == ServiceTimeDistribution::fixed ? "fixed" : "exponential");
    behaviour.shape
        = shape == "fixed" ? ServiceTimeDistribution::fixed : ServiceTimeDistribution::exponential;
    behaviour.slots = static_cast<int>(object.integer("slots", 1, 10'000, behaviour.slots));
    behaviour.queue = static_cast<int>(object.integer("queue", 0, 100'000, behaviour.queue));
    behaviour.slowdown = object.number("slowdown", 0.01, 1'000, behaviour.slowdown);
    behaviour.shiftFactor = object.number("shiftFactor", 0.01, 1'000, behaviour.shiftFactor);
    behaviour.shiftEveryMs = object.number("shiftEveryMs", 0, 600'000, behaviour.shiftEveryMs);
    behaviour.shiftLengthMs = object.number("shiftLengthMs", 1, 60'000, behaviour.shiftLengthMs);
    behaviour.failShare = object.number("failShare", 0, 1, behaviour.failShare);
    behaviour.truncateShare = object.number("truncateShare", 0, 1, behaviour.truncateShare);
    behaviour.lieFactor = object.number("lieFactor", 0, 100, behaviour.lieFactor);
    behaviour.silent = object.integer("silent", 0, 1, behaviour.silent ? 1 : 0) != 0;
    behaviour.crashOnPoison
        = object.integer("crashOnPoison", 0, 1, behaviour.crashOnPoison ? 1 : 0) != 0;
    behaviour.healthFails = object.integer("healthFails", 0, 1, behaviour.healthFails ? 1 : 0) != 0;
    behaviour.saysLeaving = object.integer("saysLeaving", 0, 1, behaviour.saysLeaving ? 1 : 0) != 0;
    const auto warmupMs = object.integer("warmupMs", 0, 600'000, -1);
    if (warmupMs >= 0) {
        behaviour.coldUntil = Clock::now() + Milliseconds(warmupMs);
    }
    behaviour.retryAfter = object.text("retryAfter", behaviour.retryAfter);
    object.reportUnknownMembers();
    return problems.status(ErrorKind::badMessage);
}

} // namespace kumquat::standin
