#pragma once
/// \file
/// Reads times as people and settings write them, a number with its unit.
/// Fractions of a millisecond are dropped.

#include "common/Time.h"

#include <optional>
#include <string>

namespace kumquat {

/// A time such as `1500ms` or `2.5s`; nothing when \p text is none.
std::optional<Milliseconds> parseDuration(const std::string &text);

} // namespace kumquat
