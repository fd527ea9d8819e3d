#pragma once
/// \file
/// Copies HTTP headers across an entry and reads the ones the system defines.
/// Headers that belong to one connection only are left out.

#include "common/Time.h"
#include "transport/Asio.h"

#include <optional>

namespace kumquat {

/// Removes the connection's own headers (RFC 9110, 7.6.1); lengths and framing included.
void removeHopByHop(http::fields &fields);

/// The milliseconds in the header \p name, when it is well formed.
std::optional<Milliseconds> readDeadline(const http::fields &fields, const std::string &name);

/// A target's report of its own load, from a `Kumquat-Load` header.
struct LoadReport
{
    int inFlight = 0; ///< running and waiting
    int slots = 0;
    int serviceTimePercent = 100; ///< how long work takes there now; 100 is ordinary
};

std::optional<LoadReport> readLoadReport(const http::fields &fields);

/// True when a header says that the target did not run the request.
bool isShed(unsigned status, const http::fields &fields);

/// True for 1 to 128 visible ASCII characters.
bool isValidIdempotencyKey(const std::string &key);

} // namespace kumquat
