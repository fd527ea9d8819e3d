#pragma once
/// \file
/// Defines what a target announces of itself and how two announcements compare.
/// The record travels between entries unchanged; the higher (incarnation, version) wins.

#include <chrono>
#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace kumquat {

enum class TargetState { starting, ready, draining, gone };

const char *targetStateName(TargetState state);

struct TargetRecord
{
    std::string name;
    std::string service;
    std::string failureDomain;
    std::string ip;
    std::uint16_t port = 0;
    std::uint64_t incarnation = 0; ///< rises with each start of the target
    std::uint64_t version = 0; ///< rises with each change within an incarnation
    TargetState state = TargetState::starting;
    std::int32_t slots = 1;
    std::int32_t maxConnections = 250;
    std::int32_t coldStartMs = 0;
    std::int32_t leaseMs = 10'000;

    MSGPACK_DEFINE(name, service, failureDomain, ip, port, incarnation, version, state, slots,
                   maxConnections, coldStartMs, leaseMs)
};

/// True when \p candidate replaces \p present. At equal numbers the later state wins, so that a
/// drain holds whichever of two copies arrives first.
bool supersedes(const TargetRecord &candidate, const TargetRecord &present);

} // namespace kumquat

MSGPACK_ADD_ENUM(kumquat::TargetState);
