#include "common/Program.h"

#include "kumquat/Event.h"

#include <csignal>
#include <cstdio>
#include <malloc.h>
#include <thread>

namespace kumquat {

namespace {

constexpr int mmapThresholdBytes = 4 * 1024 * 1024;
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

// Coroutines come and go with their stacks; memory that goes back to the system after each would
// have to be mapped and cleared again for the next.
void keepFreedMemory()
{
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, trimThresholdBytes);
}

void startProgram(const std::string &name)
{
    keepFreedMemory();
    std::signal(SIGPIPE, SIG_IGN);
    // A change of the settings file is noticed by its content, with this signal or without.
    std::signal(SIGHUP, SIG_IGN);
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
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
