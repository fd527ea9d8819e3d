#pragma once
/// \file
/// Decides whether a request whose connection broke is suspected of ending its target's process.
/// It is not suspected while the target answers its health path.

#include "coordination/entry/Attempt.h"

namespace kumquat {

/// To be called when the connection to \p target ended while it ran the request. Returns at once;
/// calls EntryHooks::suspectRequest later unless the target responds to a health check.
void checkSuspect(Worker &worker, const HeaderNames &names, const std::string &healthPath,
                  const Target &target, std::uint64_t fingerprint);

/// To be called when a target has responded to the request. Checks of this worker that have not
/// ended no longer make the request suspect.
void clearSuspect(Worker &worker, std::uint64_t fingerprint);

} // namespace kumquat
