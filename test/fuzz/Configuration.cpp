// Fuzzes the readers of configuration files, settings and announcements. An announcement that was
// read must still be readable after it is written again. Whatever is accepted without a comment is
// strict JSON for an independent reader, and every text is JSON for both readers or for none.
#include "kumquat/Configuration.h"
#include "StrictJson.h"
#include "common/JsonText.h"
#include "kumquat/Settings.h"
#include "protocol/Announcement.h"
#include "state/ReplicatedConfiguration.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace kumquat;
    const std::string text(reinterpret_cast<const char *>(data), size);
    (void)parseConfiguration({ { "10.json", text } });
    const bool isStrict = test::StrictJson::isValid(text);
    const bool accepted = parseEntrySettings("entry.json", text).ok()
        || parseControlSettings("control.json", text).ok()
        || checkWrites({ { "10.json", text } }).ok();
    const auto record = parseAnnouncement("a", text);
    const bool mayHaveComment = text.find('/') != std::string::npos;
    if (!isStrict && (record.ok() || (accepted && !mayHaveComment))) {
        __builtin_trap();
    }
    if (isStrict && findJsonFault(text, JsonSyntax::strict)) {
        __builtin_trap();
    }
    if (record.ok() && !parseAnnouncement("a", writeAnnouncement(*record)).ok()) {
        __builtin_trap();
    }
    return 0;
}
