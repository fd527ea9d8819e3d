#pragma once
/// \file
/// Tells how much memory a process may use on its instance.
/// Budgets of bytes that peers can make a process hold are parts of it.

#include <cstddef>

namespace kumquat {

constexpr std::size_t bytesPerMegabyte = 1024 * 1024;

/// The memory of the instance in bytes, at most \p limitMb.
std::size_t usableMemoryBytes(int limitMb);

} // namespace kumquat
