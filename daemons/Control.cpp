// kumquat-control: a member of the Raft group that stores the system's durable state.
#include "Main.h"
#include "kumquat/ControlProcess.h"

DEFINE_string(settings, "", "the settings file (JSON with comments)");
DEFINE_bool(check, false, "check the settings and exit");

int main(int argc, char **argv)
{
    return kumquat::daemonMain<kumquat::ControlProcessBuilder>(
        argc, argv, "stores durable state; usage: kumquat-control --settings FILE",
        kumquat::readControlSettings);
}
