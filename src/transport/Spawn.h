#pragma once
/// \file
/// Starts coroutines on an event loop with the stack size that the library's code needs.
/// An exception ends one coroutine, one round of a loop or one handler, not the process.

#include "common/Containment.h"
#include "transport/Asio.h"

namespace kumquat {

constexpr std::size_t coroutineStackBytes = 128 * 1024;
/// Before a loop goes on after an exception.
constexpr std::chrono::milliseconds pauseAfterException { 50 };

/// Starts \p work as a coroutine. Calls \p ended when it has ended, also by an exception, or could
/// not be started.
template <typename Work, typename Ended>
void spawnOn(asio::io_context &context, Work &&work, Ended &&ended)
{
    // Each event loop runs on one thread, so the coroutine needs no strand.
    void (*noOp)() = [] {};
    const bool started = contain([&] {
        asio::spawn(
            asio::bind_executor(context.get_executor(), noOp),
            [work = std::forward<Work>(work), ended](Yield yield) mutable {
                contain([&] { work(yield); });
                contain(ended);
            },
            boost::coroutines::attributes(coroutineStackBytes));
    });
    if (!started) {
        ended();
    }
}

/// Starts \p work as a coroutine for which nobody waits.
template <typename Work>
void spawnOn(asio::io_context &context, Work &&work)
{
    spawnOn(context, std::forward<Work>(work), [] {});
}

/// Suspends the coroutine for \p duration.
template <typename Duration>
void pauseFor(asio::io_context &context, Duration duration, Yield yield)
{
    Timer timer(context, duration);
    ErrorCode ignored;
    timer.async_wait(yield[ignored]);
}

/// Calls \p step until it returns false; an exception ends one call only.
template <typename Step>
void repeatOn(asio::io_context &context, Step &&step, Yield yield)
{
    bool goesOn = true;
    bool failed = false;
    while (goesOn) {
        failed = !contain([&] {
            if (failed) {
                pauseFor(context, pauseAfterException, yield);
            }
            goesOn = step();
        });
    }
}

/// Runs the handlers of \p context until it is stopped or has none left.
inline void runLoop(asio::io_context &context)
{
    while (!contain([&context] { context.run(); })) { }
}

} // namespace kumquat
