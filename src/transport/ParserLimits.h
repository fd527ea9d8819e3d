#pragma once
/// \file
/// Bounds what a parser of HTTP messages is given at a time.
/// Beast's parsers throw std::length_error at a longer field, out of the event loop.

#include <cstddef>

namespace kumquat {

/// No field of a header or trailer that fits into so many bytes is too long for a parser.
constexpr std::size_t maxParsedBytes = 65'535;

} // namespace kumquat
