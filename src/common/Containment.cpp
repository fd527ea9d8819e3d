#include "common/Containment.h"

#include "common/UnwoundStack.h"
#include "kumquat/Event.h"

#include <atomic>

namespace kumquat {

namespace {

std::atomic<std::uint64_t> reported { 0 };

} // namespace

void reportException(const char *what)
{
    forgetUnwoundFrames();
    ++reported;
    try {
        logEvent(Event::handlerFailed, LogLevel::error, "{}", what);
    } catch (const std::exception &) {
        // Without memory the event may be lost; the exception is counted.
    }
}

std::uint64_t reportedExceptions()
{
    return reported;
}

} // namespace kumquat
