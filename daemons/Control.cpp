// kumquat-control: a member of the group that keeps the system's durable state.
#include "common/Program.h"
#include "kumquat/ControlProcess.h"
#include "kumquat/Event.h"
#include "platform/Dialect.h"

#include <gflags/gflags.h>

DEFINE_string(settings, "", "the settings file (JSON with comments)");
DEFINE_bool(check, false, "check the settings and exit");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("keeps durable state; usage: kumquat-control --settings FILE");
    gflags::SetVersionString(KUMQUAT_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = kumquat::readControlSettings(FLAGS_settings);
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
    auto control = kumquat::ControlProcessBuilder()
                       .settings(*settings)
                       .settingsFile(FLAGS_settings)
                       .clusterKey(*key)
                       .dialect(kumquat::platform::dialectNamed(settings->dialect))
                       .build();
    if (!control.ok()) {
        return kumquat::failProgram(control.status());
    }
    kumquat::onStopSignal([&control] { (*control)->stop(); });
    (*control)->run();
    kumquat::stopLogging();
    return 0;
}
