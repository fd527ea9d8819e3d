#include "common/Program.h"

#include "kumquat/Event.h"

#include <csignal>
#include <cstdio>
#include <malloc.h>
#include <thread>

namespace kumquat {

namespace {

/// Smaller blocks come from the heap, which keeps them when they are freed.
constexpr int mmapThresholdBytes = 4 * 1024 * 1024;
/// More free memory than this at the heap's end is returned to the kernel.
constexpr int trimThresholdBytes = 64 * 1024 * 1024;

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

// Coroutines allocate and free their stacks all the time; memory returned to the kernel after one
// would have to be mapped and zeroed again for the next.
void keepFreedMemory()
{
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, trimThresholdBytes);
}

void prepareSignals()
{
    std::signal(SIGPIPE, SIG_IGN);
    // The settings file is polled for changes, so this signal has nothing to trigger.
    std::signal(SIGHUP, SIG_IGN);
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void startProgram(const std::string &name)
{
    keepFreedMemory();
    prepareSignals();
    startLogging(name);
}

void onStopSignal(std::function<void()> onStop)
{
    std::thread([onStop = std::move(onStop)] {
        const sigset_t signals = stopSignals();
        int signal = 0;
        sigwait(&signals, &signal);
        onStop();
    }).detach();
}

int reportFatalError(const absl::Status &status, int exitCode)
{
    std::fprintf(stderr, "%s\n", std::string(status.message()).c_str());
    stopLogging();
    return exitCode;
}

} // namespace kumquat
