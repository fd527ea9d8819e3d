#include "common/Program.h"

#include "kumquat/Event.h"

#include <csignal>
#include <cstdio>
#include <thread>

namespace kumquat {

namespace {

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void startProgram(const std::string &name)
{
    std::signal(SIGPIPE, SIG_IGN);
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

int failProgram(const absl::Status &status)
{
    std::fprintf(stderr, "%s\n", std::string(status.message()).c_str());
    stopLogging();
    return 1;
}

} // namespace kumquat
