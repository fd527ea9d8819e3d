#include "kumquat/TargetRecord.h"

#include "common/JsonText.h"
#include "kumquat/Error.h"
#include "transport/Asio.h"

#include <algorithm>

namespace kumquat {

namespace {

constexpr std::size_t maxNameBytes = 255;
constexpr std::int32_t maxSlots = 10'000;
constexpr char firstPrintable = ' ';
constexpr char deleteCharacter = 0x7f;

absl::Status invalidRecord(const TargetRecord &record, const char *what)
{
    return makeError(ErrorKind::badMessage,
                     "the record of target '" + cutText(record.name, maxNameBytes) + "' has "
                         + what,
                     "announce the target as its dialect documents");
}

bool isUsableAddress(const std::string &ip, std::uint16_t port)
{
    ErrorCode error;
    const auto address = asio::ip::make_address_v4(ip, error);
    const bool isOne = !address.is_unspecified() && !address.is_multicast()
        && address != asio::ip::address_v4::broadcast();
    return !error && isOne && port != 0;
}

} // namespace

bool isPlainText(const std::string &text)
{
    const bool hasControl = std::any_of(text.begin(), text.end(), [](char c) {
        return static_cast<unsigned char>(c) < firstPrintable || c == deleteCharacter;
    });
    return text.size() <= maxNameBytes && !hasControl
        && findInvalidUtf8(text) == std::string_view::npos;
}

const char *targetStateName(TargetState state)
{
    switch (state) {
    case TargetState::starting:
        return "starting";
    case TargetState::ready:
        return "ready";
    case TargetState::draining:
        return "draining";
    case TargetState::gone:
        return "gone";
    }
    return "unknown";
}

// A record of a target that has gone may hold nothing but its name.
absl::Status checkTargetRecord(const TargetRecord &record)
{
    if (record.name.empty() || !isPlainText(record.name) || !isPlainText(record.service)
        || !isPlainText(record.failureDomain)) {
        return invalidRecord(record, "a name that is empty, too long or not plain text");
    }
    if (record.state < TargetState::starting || record.state > TargetState::gone) {
        return invalidRecord(record, "an unknown state");
    }
    const bool needsAddress = record.state != TargetState::gone || !record.ip.empty();
    if (needsAddress && !isUsableAddress(record.ip, record.port)) {
        return invalidRecord(record, "an address that cannot be connected to");
    }
    if (record.slots < 1 || record.slots > maxSlots || record.maxConnections < 1
        || record.slowStartMs < 0 || record.leaseMs < 0) {
        return invalidRecord(record, "a number out of range");
    }
    return absl::OkStatus();
}

bool supersedes(const TargetRecord &candidate, const TargetRecord &present)
{
    if (candidate.incarnation != present.incarnation) {
        return candidate.incarnation > present.incarnation;
    }
    // Within one incarnation the state only advances: a target that drains does not become ready.
    if (candidate.state != present.state) {
        return candidate.state > present.state;
    }
    return candidate.version > present.version;
}

} // namespace kumquat
