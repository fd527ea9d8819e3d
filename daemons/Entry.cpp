// kumquat-entry: takes callers' requests and brings each to a target.
#include "common/Program.h"
#include "kumquat/EntryProcess.h"
#include "kumquat/Event.h"
#include "platform/Dialect.h"

#include <gflags/gflags.h>

DEFINE_string(settings, "", "the settings file (JSON with comments)");
DEFINE_bool(check, false, "check the settings and exit");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("serves callers' requests; usage: kumquat-entry --settings FILE");
    gflags::SetVersionString(KUMQUAT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = kumquat::readEntrySettings(FLAGS_settings);
    if (!settings.ok()) {
        return kumquat::failProgram(settings.status(), kumquat::exitBadSettings);
    }
    const auto key = kumquat::readClusterKey(settings->clusterKeyFile);
    if (!key.ok()) {
        return kumquat::failProgram(key.status(), kumquat::exitBadSettings);
    }
    if (FLAGS_check) {
        return 0;
    }
    kumquat::startProgram(settings->name);
    auto entry = kumquat::EntryProcessBuilder()
                     .settings(*settings)
                     .settingsFile(FLAGS_settings)
                     .clusterKey(*key)
                     .dialect(kumquat::platform::dialectNamed(settings->dialect))
                     .build();
    if (!entry.ok()) {
        return kumquat::failProgram(entry.status());
    }
    kumquat::onStopSignal([&entry] { (*entry)->stop(); });
    (*entry)->run();
    kumquat::stopLogging();
    return 0;
}
