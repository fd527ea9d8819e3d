#pragma once
/// \file
/// Defines the main function of the daemons: command line, settings, start, stop.
/// Exit codes: 0 after a planned stop, 1 when the process cannot start, 2 for bad settings.

#include "common/Program.h"
#include "kumquat/Event.h"
#include "kumquat/Settings.h"
#include "platform/Dialect.h"

#include <gflags/gflags.h>

DECLARE_string(settings);
DECLARE_bool(check);

namespace kumquat {

/// Builds the process with a \p Builder from the settings that \p read returns, and runs it.
template <typename Builder, typename Read>
int daemonMain(int argc, char **argv, const char *usage, Read read)
{
    prepareSignals();
    gflags::SetUsageMessage(usage);
    gflags::SetVersionString(KUMQUAT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = read(FLAGS_settings);
    if (!settings.ok()) {
        return reportFatalError(settings.status(), exitBadSettings);
    }
    const auto key = readClusterKey(settings->clusterKeyFile);
    if (!key.ok()) {
        return reportFatalError(key.status(), exitBadSettings);
    }
    if (FLAGS_check) {
        return 0;
    }
    startProgram(settings->name);
    auto process = Builder()
                       .settings(*settings)
                       .settingsFile(FLAGS_settings)
                       .clusterKey(*key)
                       .dialect(platform::dialectNamed(settings->dialect))
                       .build();
    if (!process.ok()) {
        return reportFatalError(process.status());
    }
    onStopSignal([&process] { (*process)->stop(); });
    (*process)->run();
    stopLogging();
    return 0;
}

} // namespace kumquat
