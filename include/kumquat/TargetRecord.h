#pragma once
/// \file
/// Defines the record that a target announces and the order of two records of one target.
/// Processes pass records on unchanged and keep the highest (incarnation, state, version).

#include <absl/status/status.h>
#include <chrono>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace kumquat {

/// The state of a target, which only moves forward within an incarnation.
enum class TargetState { starting, ready, draining, gone };

const char *targetStateName(TargetState state);

/// A target: its service, address and capacity. The order of the members is the wire format.
struct TargetRecord
{
    std::string name;
    std::string service;
    std::string failureDomain;
    std::string ip;
    std::uint16_t port = 0;
    std::uint64_t incarnation = 0; ///< increases with each start of the target
    std::uint64_t version = 0; ///< increases with each change within an incarnation
    TargetState state = TargetState::starting;
    std::int32_t slots = 1; ///< requests that the target runs at once
    std::int32_t maxConnections = 250;
    std::int32_t slowStartMs = 0; ///< its in-flight limit grows during this time
    std::int32_t leaseMs = 10'000; ///< unreachable without a heartbeat for longer

    MSGPACK_DEFINE(name, service, failureDomain, ip, port, incarnation, version, state, slots,
                   maxConnections, slowStartMs, leaseMs)
};

/// True when \p candidate replaces \p present. Within an incarnation the later state wins over the
/// higher version, so that a draining target stays draining in whatever order records arrive.
bool supersedes(const TargetRecord &candidate, const TargetRecord &present);

/// True when every process can use \p text as a name: valid UTF-8 of at most 255 bytes without
/// control characters.
bool isPlainText(const std::string &text);

/// Checks that every process can use \p record: the lengths of its names, its address and the
/// ranges of its numbers. Fails with ErrorKind::badMessage.
absl::Status checkTargetRecord(const TargetRecord &record);

} // namespace kumquat

MSGPACK_ADD_ENUM(kumquat::TargetState);
