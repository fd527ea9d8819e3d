#pragma once
/// \file
/// Records what a response says about its target: that it leaves, wants a rest or is cold.
/// They bind this entry from then on, whatever announcements and other entries say.

#include "common/Random.h"
#include "coordination/entry/Target.h"
#include "protocol/Dialect.h"

namespace kumquat {

/// True when the response comes from the target that the request was meant for, not from another
/// one at an address that is in use again.
bool comesFrom(const Target &target, const HeaderNames &names, unsigned status,
               const http::fields &response);

/// Records the statements of a response received at \p now. Call it as soon as the header is
/// there: later requests of any thread then see them.
void recordStatements(const Target &target, const Dialect &dialect,
                      const http::response_header<> &response, Random &random, TimePoint now);

/// Records that \p target refused or reset a connection while it was opened.
void recordUnreachable(const Target &target, TimePoint now);

/// Records that \p target left a load probe unanswered.
void recordUnanswered(const Target &target, TimePoint now);

} // namespace kumquat
