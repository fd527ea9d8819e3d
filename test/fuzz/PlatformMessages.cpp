// Fuzzes the readers of the platform's documents, heartbeats and departures, and of durations.
#include "common/Duration.h"
#include "platform/Dialect.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    (void)kumquat::platform::parseDocument(text);
    (void)kumquat::platform::parseHeartbeat("i-1", text);
    (void)kumquat::platform::parseDeparture("i-1", text);
    (void)kumquat::parseDuration(text);
    return 0;
}
