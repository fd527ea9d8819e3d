#pragma once
/// \file
/// Reads the HTTP headers that the system defines.
/// Removes the headers that must not be forwarded to the other side of an entry.

#include "common/Time.h"
#include "transport/Asio.h"

#include <optional>

namespace kumquat {

/// Removes hop-by-hop headers (RFC 9110, 7.6.1), including those of length and framing. A
/// `Connection` header cannot remove the names in \p kept, which the system itself depends on.
void removeHopByHop(http::fields &fields, const std::vector<std::string> &kept = {});

/// The milliseconds in the header \p name, at most a day; nothing when it is malformed.
std::optional<Milliseconds> readDeadline(const http::fields &fields, const std::string &name);

/// A target's report of its own load, from a `Kumquat-Load` header.
struct LoadReport
{
    int inFlight = 0; ///< running and waiting
    int slots = 0;
    int slowdownPercent = 100; ///< current service time in percent of the normal one
};

std::optional<LoadReport> readLoadReport(const http::fields &fields);

/// True when the target shed the request: a 503 whose header says that it was not run.
bool isShed(unsigned status, const http::fields &fields);

/// True for 1 to 128 visible ASCII characters.
bool isValidIdempotencyKey(const std::string &key);

} // namespace kumquat
