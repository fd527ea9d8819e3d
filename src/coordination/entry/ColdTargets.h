#pragma once
/// \file
/// Applies the limit on requests to cold targets to the targets of a service.
/// Nothing is limited unless the service sets both a warm-up time and a rate.

#include "coordination/entry/ServiceRuntime.h"
#include "coordination/policy/ColdTargetSetting.h"

namespace kumquat {

/// True when the limit applies to \p target now.
bool isLimited(const ActiveService &service, const Target &target, TimePoint now);

/// True when this entry may send \p target a request now, as far as the limit goes.
bool maySend(const ActiveService &service, const Target &target, TimePoint now);

/// Takes the permission to send \p target a request; always true for a warm target.
bool trySend(const ActiveService &service, const Target &target, TimePoint now);

/// True when load probes may ask \p target: this entry may send it a request if it responds.
bool mayProbe(const ActiveService &service, const Target &target, TimePoint now);

/// True when \p target must respond to a load probe before it gets requests.
bool needsProbe(const ActiveService &service, const Target &target);

/// The time until this entry may send a request to the limited \p target, by its allowance or
/// because the target is warm; zero when it may now.
Milliseconds timeUntilSend(const ActiveService &service, const Target &target, TimePoint now);

/// The number of limited targets.
std::size_t coldTargetCount(const ActiveService &service, TimePoint now);

/// Counts a search for a target that found none while the limit withheld at least one of those that
/// are not in \p tried.
void countIfHeldBack(const ActiveService &service, const std::vector<std::string> &tried,
                     TimePoint now);

} // namespace kumquat
