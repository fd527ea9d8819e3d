// Fuzzes the readers of configuration files, settings and announcements. An announcement that was
// read must still be readable after it is written again.
#include "kumquat/Configuration.h"
#include "kumquat/Settings.h"
#include "protocol/Announcement.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace kumquat;
    const std::string text(reinterpret_cast<const char *>(data), size);
    (void)parseConfiguration({ { "10.json", text } });
    (void)parseEntrySettings("entry.json", text);
    (void)parseControlSettings("control.json", text);
    const auto record = parseAnnouncement("a", text);
    if (record.ok() && !parseAnnouncement("a", writeAnnouncement(*record)).ok()) {
        __builtin_trap();
    }
    return 0;
}
