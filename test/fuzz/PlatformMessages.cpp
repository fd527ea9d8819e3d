// Fuzzes the readers of the platform's documents, heartbeats and departures, and of durations.
// Whatever they accept is strict JSON for an independent reader.
#include "StrictJson.h"
#include "common/Duration.h"
#include "platform/Dialect.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    const bool accepted = kumquat::platform::parseDocument(text).ok()
        || kumquat::platform::parseHeartbeat("i-1", text).ok()
        || (!text.empty() && kumquat::platform::parseDeparture("i-1", text).ok());
    if (accepted && !kumquat::test::StrictJson::isValid(text)) {
        __builtin_trap();
    }
    (void)kumquat::platform::parseDocument(text, kumquat::DocumentOrigin::confirmed);
    (void)kumquat::parseDuration(text);
    return 0;
}
