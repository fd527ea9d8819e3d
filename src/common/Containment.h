#pragma once
/// \file
/// Keeps an exception from ending more than the work that it was thrown in.
/// Each is logged and counted; a coroutine's forced unwinding, which is no error, passes.

#include <cstdint>
#include <exception>

namespace kumquat {

/// Logs and counts an exception that ended a piece of work.
void reportException(const char *what);

/// Exceptions that were reported since the process began.
std::uint64_t reportedExceptions();

/// Runs \p work; false when it threw an exception.
template <typename Work>
bool contain(Work &&work)
{
    try {
        work();
        return true;
    } catch (const std::exception &exception) {
        reportException(exception.what());
    }
    return false;
}

} // namespace kumquat
