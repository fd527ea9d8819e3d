// Reads of the stored log that fail.
#include "failure/GroupSimulation.h"
#include "state/LogStore.h"

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr std::size_t entries = 40;
constexpr std::size_t entryBytes = 100'000;

void storeEntries(LogStore &store)
{
    CHECK(store.create(1).ok());
    for (std::size_t index = 1; index <= entries; ++index) {
        LogEntry entry;
        entry.index = index;
        entry.term = 1;
        entry.payload = std::string(entryBytes, 'a');
        CHECK(store.append(nullptr, { entry }).ok());
    }
}

} // namespace

TEST_GROUP(LogReadErrors) {};

TEST(LogReadErrors, failedReadIsTakenForATornTail)
{
    FaultyDisk disk;
    LogStore store(disk.hooks());
    storeEntries(store);
    Disk failing = disk.hooks();
    failing.readPart = [read = failing.readPart](const std::string &name, std::uint64_t offset,
                                                 std::size_t maxBytes) {
        // As a folder returns it when the file cannot be opened or read.
        return offset < entries * entryBytes / 2 ? read(name, offset, maxBytes) : std::string();
    };
    LogStore faulty(failing);
    const auto loaded = faulty.load();
    CHECK_TEXT(!loaded.ok() || loaded->damaged, "the member keeps its identity");
    LogStore again(disk.hooks());
    const auto reloaded = again.load();
    CHECK(reloaded.ok());
    LONGS_EQUAL(entries, reloaded->entries.size());
}
