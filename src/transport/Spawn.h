#pragma once
/// \file
/// Starts coroutines on an event loop with the stack size that the library's code needs.
/// Also lets a coroutine sleep without blocking its event loop.

#include "transport/Asio.h"

namespace kumquat {

constexpr std::size_t coroutineStackBytes = 128 * 1024;

template <typename Function>
void spawnOn(asio::io_context &context, Function &&function)
{
    // Each event loop runs on one thread, so the coroutine needs no strand.
    void (*noOp)() = [] {};
    asio::spawn(asio::bind_executor(context.get_executor(), noOp), std::forward<Function>(function),
                boost::coroutines::attributes(coroutineStackBytes));
}

/// Suspends the coroutine for \p duration.
template <typename Duration>
void pauseFor(asio::io_context &context, Duration duration, Yield yield)
{
    Timer timer(context, duration);
    ErrorCode ignored;
    timer.async_wait(yield[ignored]);
}

} // namespace kumquat
