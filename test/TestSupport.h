#pragma once
/// \file
/// Includes CppUTest and rapidcheck in the order that they need.
/// Also defines a virtual clock and a check for properties, which several tests use.

#include "common/Time.h"

#include <rapidcheck.h>
#include <string>
// CppUTest redefines new, so its header must come last.
#include <CppUTest/TestHarness.h>

namespace kumquat::test {

/// A clock that changes only through advance().
struct VirtualClock
{
    TimePoint now { Seconds(1'000) };
    void advance(Clock::duration duration) { now += duration; }
};

inline void checkProperty(bool holds, const std::string &name)
{
    CHECK_TEXT(holds, name.c_str());
}

} // namespace kumquat::test
