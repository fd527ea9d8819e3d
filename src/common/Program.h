#pragma once
/// \file
/// Sets up what long-running programs share: memory allocator, signals, log.
/// Also defines the exit codes of a program that cannot start.

#include <absl/status/status.h>
#include <functional>
#include <string>

namespace kumquat {

/// Calls \p onStop from a separate thread at the first SIGTERM or SIGINT. Needs startProgram(),
/// which blocks these signals for all other threads.
void onStopSignal(std::function<void()> onStop);

/// Makes malloc keep freed memory for reuse, up to a limit, and not return it to the kernel.
void keepFreedMemory();

/// Ignores SIGPIPE and SIGHUP, and blocks SIGTERM and SIGINT in this thread and all threads started
/// later. To be called first, since a signal may arrive while the settings are read.
void prepareSignals();

/// Calls keepFreedMemory() and prepareSignals(), and starts the log.
void startProgram(const std::string &name);

/// The exit codes of a program that cannot start.
constexpr int exitFailed = 1;
constexpr int exitBadSettings = 2;

/// Prints \p status to standard error; returns the exit code that main() should return.
int reportFatalError(const absl::Status &status, int exitCode = exitFailed);

} // namespace kumquat
