#pragma once
/// \file
/// Starts a daemon: command line, logs, signals.
/// Every program of the system begins main() with it.

#include <absl/status/status.h>
#include <functional>
#include <string>

namespace kumquat {

/// Calls \p onStop on SIGTERM or SIGINT, from a thread of its own.
void onStopSignal(std::function<void()> onStop);

/// Lets the process keep memory that it frees, up to a bound.
void keepFreedMemory();

/// Ignores SIGPIPE and SIGHUP, blocks the stop signals for all threads started later, starts the
/// log.
void startProgram(const std::string &name);

/// The exit codes of a program that cannot start.
constexpr int exitFailed = 1;
constexpr int exitBadSettings = 2;

/// Prints \p status to standard error; returns the exit code that main() should return.
int reportFatalError(const absl::Status &status, int exitCode = exitFailed);

} // namespace kumquat
