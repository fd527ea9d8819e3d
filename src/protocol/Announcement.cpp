#include "protocol/Announcement.h"

#include "common/JsonReader.h"
#include "transport/Address.h"

namespace kumquat {

namespace {

constexpr std::size_t maxNameLength = 128; // bytes
constexpr std::size_t maxAnnouncementBytes = 8 * 1024;

TargetState readState(JsonObject &object, JsonProblems &problems)
{
    const std::string name = object.text("state", "ready");
    for (const TargetState state :
         { TargetState::starting, TargetState::ready, TargetState::draining, TargetState::gone }) {
        if (name == targetStateName(state)) {
            return state;
        }
    }
    problems.add(object.pathOf("state"), "is '" + name + "'",
                 "write starting, ready, draining or gone");
    return TargetState::gone;
}

void checkLength(const std::string &text, const std::string &path, JsonProblems &problems)
{
    if (text.size() > maxNameLength) {
        problems.add(path, "is too long", "use at most 128 characters");
    }
}

} // namespace

absl::StatusOr<TargetRecord> parseAnnouncement(const std::string &name, const std::string &json)
{
    if (json.size() > maxAnnouncementBytes) {
        return makeError(ErrorKind::badMessage, "the announcement is over 8 KiB", "send less");
    }
    const auto value = parseJson("announcement", json, ErrorKind::badMessage);
    if (!value.ok()) {
        return value.status();
    }
    JsonProblems problems("announcement");
    JsonObject object(*value, "", problems);
    TargetRecord record;
    record.name = name;
    record.service = object.text("service");
    record.failureDomain = object.text("failureDomain", "unknown");
    const std::string addressText = object.text("address");
    const auto address = parseAddress(addressText);
    if (address.ok()) {
        record.ip = address->ip;
        record.port = address->port;
    } else {
        problems.add("/address", "is '" + addressText + "'", "write an address as IP:PORT");
    }
    constexpr std::int64_t maxNumber = std::numeric_limits<std::int64_t>::max();
    record.incarnation = static_cast<std::uint64_t>(object.integer("incarnation", 1, maxNumber));
    record.version = static_cast<std::uint64_t>(object.integer("version", 0, maxNumber, 0));
    record.state = readState(object, problems);
    record.slots = static_cast<std::int32_t>(object.integer("slots", 1, 10'000, 1));
    record.maxConnections
        = static_cast<std::int32_t>(object.integer("maxConnections", 1, 1'000'000, 250));
    record.slowStartMs = static_cast<std::int32_t>(object.integer("coldStartMs", 0, 600'000, 0));
    record.leaseMs = static_cast<std::int32_t>(object.integer("leaseMs", 100, 600'000, 10'000));
    object.reportUnknownMembers();
    checkLength(name, "/name", problems);
    checkLength(record.service, "/service", problems);
    checkLength(record.failureDomain, "/failureDomain", problems);
    absl::Status status = problems.status(ErrorKind::badMessage);
    if (status.ok()) {
        status = checkTargetRecord(record);
    }
    if (!status.ok()) {
        return status;
    }
    return record;
}

std::string writeAnnouncement(const TargetRecord &record)
{
    Json::Value value;
    value["service"] = record.service;
    value["failureDomain"] = record.failureDomain;
    value["address"] = Address { record.ip, record.port }.text();
    value["incarnation"] = Json::UInt64(record.incarnation);
    value["version"] = Json::UInt64(record.version);
    value["state"] = targetStateName(record.state);
    value["slots"] = record.slots;
    value["maxConnections"] = record.maxConnections;
    value["coldStartMs"] = record.slowStartMs;
    value["leaseMs"] = record.leaseMs;
    return writeJson(value);
}

} // namespace kumquat
