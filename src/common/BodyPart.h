#pragma once
/// \file
/// Defines a part of a body that is written in several parts.
/// Each part has a time before which it is not written.

#include "common/Time.h"

#include <cstddef>

namespace kumquat {

struct BodyPart
{
    std::size_t bytes = 0;
    TimePoint start; ///< when it may be written
};

} // namespace kumquat
