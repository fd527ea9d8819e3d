#pragma once
/// \file
/// Parses durations that are written as a decimal number with the unit `ms` or `s`.
/// Fractions of a millisecond are dropped.

#include "common/Time.h"

#include <optional>
#include <string>

namespace kumquat {

/// Parses a duration such as `1500ms` or `2.5s`; std::nullopt when \p text is not one.
std::optional<Milliseconds> parseDuration(const std::string &text);

} // namespace kumquat
