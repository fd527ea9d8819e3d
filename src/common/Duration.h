#pragma once
/// \file
/// Parses durations that are written as a decimal number with the unit `ms` or `s`.
/// The longest duration is a hundred years, so that it can be added to any time of a clock.

#include "common/Time.h"

#include <optional>
#include <string>

namespace kumquat {

/// Parses a duration such as `1500ms` or `2.5s`, without what is less than a nanosecond;
/// std::nullopt when \p text is not one, or when it is too long.
std::optional<std::chrono::nanoseconds> parseExactDuration(const std::string &text);

/// As parseExactDuration(), without fractions of a millisecond.
std::optional<Milliseconds> parseDuration(const std::string &text);

} // namespace kumquat
