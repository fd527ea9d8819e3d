#pragma once
/// \file
/// Gathers what the tests share: CppUTest and rapidcheck in the order that they need.
/// A virtual clock stands in for real time.

#include "common/Time.h"

#include <rapidcheck.h>
#include <string>
// CppUTest redefines new, so it comes after everything else.
#include <CppUTest/TestHarness.h>

namespace kumquat::test {

/// A clock that moves only when told to.
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
