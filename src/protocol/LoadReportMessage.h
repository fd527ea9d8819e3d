#pragma once
/// \file
/// Defines the message by which entries share the load reports that they received from targets.
/// It is sent several times within the duration of a typical request; the next one makes up for
/// one that is lost.

#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace kumquat {

struct SharedLoadReport
{
    std::uint64_t targetHash = 0; ///< a hash of the target's name
    std::uint32_t ageMs = 0; ///< the report's age when the message was sent
    std::uint16_t inFlight = 0; ///< running and waiting at the target
    std::uint16_t slowdownPercent = 100; ///< current service time in percent of the normal one
    MSGPACK_DEFINE(targetHash, ageMs, inFlight, slowdownPercent)
};

struct LoadReportMessage
{
    std::vector<SharedLoadReport> reports;
    MSGPACK_DEFINE(reports)
};

} // namespace kumquat
