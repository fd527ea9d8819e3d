#pragma once
/// \file
/// Starts coroutines on an event loop with the stack size that the library's code needs.
/// An exception ends one coroutine, one round of a loop or one handler, not the process.

#include "common/Containment.h"
#include "transport/Asio.h"

#include <memory>
#include <type_traits>

namespace kumquat {

constexpr std::size_t coroutineStackBytes = 128 * 1024;
/// Before a loop goes on after an exception.
constexpr std::chrono::milliseconds pauseAfterException { 50 };

/// Calls a function if the coroutine that holds it never starts: an executor hands an exception of
/// a start to the event loop, not to the code that asked for it.
template <typename Ended>
class StartGuard
{
public:
    StartGuard(asio::io_context &context, Ended ended) : context_(context), ended_(std::move(ended))
    {
    }
    StartGuard(const StartGuard &) = delete;
    StartGuard &operator=(const StartGuard &) = delete;
    ~StartGuard()
    {
        // A loop that was stopped is being destroyed, perhaps with what the function uses.
        if (!hasStarted_ && !context_.stopped()) {
            contain(ended_);
        }
    }

    void start() { hasStarted_ = true; }

private:
    asio::io_context &context_;
    Ended ended_;
    bool hasStarted_ = false;
};

/// Starts \p work as a coroutine. Calls \p ended when it has ended, also by an exception, or could
/// not be started.
template <typename Work, typename Ended>
void spawnOn(asio::io_context &context, Work &&work, Ended &&ended)
{
    // Each event loop runs on one thread, so the coroutine needs no strand.
    void (*noOp)() = [] {};
    std::shared_ptr<StartGuard<std::decay_t<Ended>>> guard;
    const bool hasGuard = contain(
        [&] { guard = std::make_shared<StartGuard<std::decay_t<Ended>>>(context, ended); });
    if (!hasGuard) {
        ended();
        return;
    }
    contain([&] {
        asio::spawn(
            asio::bind_executor(context.get_executor(), noOp),
            [work = std::forward<Work>(work), ended, guard](Yield yield) mutable {
                guard->start();
                guard.reset();
                contain([&] { work(yield); });
                contain(ended);
            },
            boost::coroutines::attributes(coroutineStackBytes));
    });
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
