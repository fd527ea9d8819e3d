// kumquat-entry: accepts callers' requests and forwards each to a target.
#include "Main.h"
#include "kumquat/EntryProcess.h"

DEFINE_string(settings, "", "the settings file (JSON with comments)");
DEFINE_bool(check, false, "check the settings and exit");

int main(int argc, char **argv)
{
    return kumquat::daemonMain<kumquat::EntryProcessBuilder>(
        argc, argv, "serves callers' requests; usage: kumquat-entry --settings FILE",
        kumquat::readEntrySettings);
}
