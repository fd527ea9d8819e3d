#pragma once
/// \file
/// Defines what entries tell one another of the load of targets, a few times in the life of a
/// request. A message that is lost is made up for by the next.

#include <cstdint>
#include <msgpack.hpp>
#include <vector>

namespace kumquat {

struct SharedLoadReport
{
    std::uint64_t targetHash = 0; ///< a hash of its name
    std::uint32_t ageMs = 0; ///< of the report, when it was sent
    std::uint16_t inFlight = 0; ///< running and waiting there
    std::uint16_t serviceTimePercent = 100;
    MSGPACK_DEFINE(targetHash, ageMs, inFlight, serviceTimePercent)
};

struct LoadReportMessage
{
    std::vector<SharedLoadReport> reports;
    MSGPACK_DEFINE(reports)
};

} // namespace kumquat
