#include "state/LogStore.h"

#include "kumquat/Error.h"
#include "protocol/Codec.h"
#include "state/RecordFile.h"

#include <algorithm>

namespace kumquat {

namespace {

constexpr char identityFile[] = "identity";
constexpr char logFile[] = "log";
constexpr char snapshotFile[] = "snapshot";

enum class RecordType { hardState, entry };

} // namespace

} // namespace kumquat

MSGPACK_ADD_ENUM(kumquat::RecordType);

namespace kumquat {

namespace {

struct LogRecord
{
    RecordType type = RecordType::hardState;
    HardState hardState;
    LogEntry entry;
    MSGPACK_DEFINE(type, hardState, entry)
};

std::string framedRecord(const HardState &hardState)
{
    LogRecord record;
    record.hardState = hardState;
    return frameRecord(pack(record));
}

std::string framedRecord(const LogEntry &entry)
{
    LogRecord record;
    record.type = RecordType::entry;
    record.entry = entry;
    return frameRecord(pack(record));
}

// Reads the files of a disk and notes whether a read failed. Such a file must not be taken for one
// that ends there: what was acknowledged would be cut off.
class FileReader
{
public:
    explicit FileReader(const Disk &disk) : disk_(disk) { }

    RecordHooks hooksFor(const std::string &name, std::uint64_t fileBytes)
    {
        RecordHooks hooks;
        hooks.read = [this, name, fileBytes](std::uint64_t offset, std::size_t maxBytes) {
            std::string part = disk_.readPart(name, offset, maxBytes);
            const std::uint64_t rest = fileBytes - std::min(fileBytes, offset);
            if (part.size() < std::min<std::uint64_t>(rest, maxBytes)) {
                failedFile_ = name;
            }
            return part;
        };
        return hooks;
    }

    absl::Status status() const
    {
        if (failedFile_.empty()) {
            return absl::OkStatus();
        }
        return makeError(ErrorKind::storageFailed, "cannot read the whole file " + failedFile_,
                         "check the disk of the data folder, then restart the process");
    }

private:
    const Disk &disk_;
    std::string failedFile_;
};

template <typename Message>
bool readSingle(FileReader &reader, const std::string &name, std::uint64_t bytes, Message &message)
{
    int records = 0;
    RecordHooks hooks = reader.hooksFor(name, bytes);
    hooks.onRecord = [&](const std::string &record) {
        auto read = unpack<Message>(record);
        if (read.ok()) {
            message = std::move(*read);
        }
        return read.ok() && ++records == 1;
    };
    const RecordScan scan = scanRecords(bytes, hooks);
    return records == 1 && !scan.damaged;
}

// A packed LogRecord begins with a short array, a small number and the array of the hard state.
bool mayBeLogRecord(const char *bytes, std::size_t length)
{
    const auto isShortArray
        = [](char byte) { return (static_cast<unsigned char>(byte) & 0xf0U) == 0x90U; };
    return length >= 3 && isShortArray(bytes[0]) && static_cast<unsigned char>(bytes[1]) < 0x10U
        && isShortArray(bytes[2]);
}

// Applies a record to the state of the records before it; false if it leaves a gap in the log.
bool replay(LogRecord record, StoredState &state)
{
    if (record.type == RecordType::hardState) {
        state.hardState = record.hardState;
        return true;
    }
    const std::uint64_t first = state.snapshot.index + 1;
    const std::uint64_t index = record.entry.index;
    if (index < first) {
        return true;
    }
    if (index > first + state.entries.size()) {
        return false;
    }
    state.entries.resize(index - first);
    state.entries.push_back(std::move(record.entry));
    return true;
}

// A log without an identity is no longer than this if create() was interrupted; a log that holds a
// vote or an entry is longer, and its identity was lost.
std::uint64_t createdLogBytes()
{
    return framedRecord(HardState { 1, 1, 0 }).size();
}

// The state of a damaged disk, unless a read failed: then another start may read it.
absl::StatusOr<StoredState> damagedUnless(const FileReader &reader)
{
    const absl::Status read = reader.status();
    if (!read.ok()) {
        return read;
    }
    StoredState state;
    state.damaged = true;
    return state;
}

} // namespace

absl::StatusOr<StoredState> LogStore::load()
{
    FileReader reader(disk_);
    StoredState state;
    const auto identityBytes = disk_.size(identityFile);
    const auto logFileBytes = disk_.size(logFile);
    if (!identityBytes) {
        state.damaged = logFileBytes.value_or(0) > createdLogBytes();
        return state;
    }
    if (!logFileBytes || !readSingle(reader, identityFile, *identityBytes, state.identity)) {
        return damagedUnless(reader);
    }
    const auto snapshotBytes = disk_.size(snapshotFile);
    if (snapshotBytes && !readSingle(reader, snapshotFile, *snapshotBytes, state.snapshot)) {
        return damagedUnless(reader);
    }
    loadedBytes_ = *identityBytes + *logFileBytes + snapshotBytes.value_or(0);
    RecordHooks hooks = reader.hooksFor(logFile, *logFileBytes);
    hooks.mayBeRecord = mayBeLogRecord;
    hooks.onRecord = [&state](const std::string &bytes) {
        auto record = unpack<LogRecord>(bytes);
        return record.ok() && replay(std::move(*record), state);
    };
    const RecordScan scan = scanRecords(*logFileBytes, hooks);
    if (scan.damaged || scan.validBytes == 0 || !reader.status().ok()) {
        return damagedUnless(reader);
    }
    logBytes_ = scan.validBytes;
    return cutTornTail(scan.validBytes, *logFileBytes, std::move(state));
}

absl::StatusOr<StoredState> LogStore::cutTornTail(std::uint64_t validBytes, std::uint64_t fileBytes,
                                                  StoredState state)
{
    if (validBytes == fileBytes) {
        return state;
    }
    const absl::Status cut = disk_.truncate(logFile, validBytes);
    if (!cut.ok() && !isError(cut, ErrorKind::storageFull)) {
        return cut;
    }
    mustReplace_ = !cut.ok();
    return state;
}

// The identity is written last, and a member sends nothing before, so a disk without one counts as
// empty. An identity from before is made unreadable first: beside the new, empty log it would let
// its member vote twice.
absl::Status LogStore::create(MemberId identity, const LogSnapshot &snapshot,
                              const HardState &hardState)
{
    absl::Status status;
    if (disk_.size(identityFile)) {
        status = disk_.replace(identityFile, "");
    }
    if (status.ok()) {
        status = replace(snapshot, hardState, {});
    }
    if (status.ok()) {
        status = disk_.replace(identityFile, frameRecord(pack(identity)));
    }
    return status;
}

absl::Status LogStore::write(const std::string &bytes)
{
    KUMQUAT_ASSERT(!mustReplace_, "the log was appended to after part of a record");
    absl::Status status = disk_.append(logFile, bytes);
    mustReplace_ = isError(status, ErrorKind::storageFull);
    if (status.ok()) {
        status = disk_.sync(logFile);
    }
    ++syncs_;
    bytesWritten_ += bytes.size();
    logBytes_ += bytes.size();
    return status;
}

absl::Status LogStore::append(const HardState *hardState, const std::vector<LogEntry> &entries)
{
    std::string bytes;
    if (hardState != nullptr) {
        bytes += framedRecord(*hardState);
    }
    for (const LogEntry &entry : entries) {
        bytes += framedRecord(entry);
    }
    return write(bytes);
}

absl::Status LogStore::replace(const LogSnapshot &snapshot, const HardState &hardState,
                               const std::vector<LogEntry> &entries)
{
    std::string bytes = framedRecord(hardState);
    for (const LogEntry &entry : entries) {
        bytes += framedRecord(entry);
    }
    // After a crash between the two steps the old log still continues the new snapshot without a
    // gap, so the snapshot must be replaced first.
    absl::Status status = disk_.replace(snapshotFile, frameRecord(pack(snapshot)));
    if (status.ok()) {
        status = disk_.replace(logFile, bytes);
    }
    mustReplace_ = mustReplace_ && !status.ok();
    logBytes_ = status.ok() ? bytes.size() : logBytes_.load();
    syncs_ += 2;
    bytesWritten_ += bytes.size();
    return status;
}

} // namespace kumquat
