#include "state/LogStore.h"

#include "kumquat/Error.h"
#include "protocol/Codec.h"
#include "state/RecordFile.h"

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

template <typename Message>
bool readSingle(const std::string &content, Message &message)
{
    const RecordFileContent file = readRecords(content);
    if (file.records.size() != 1) {
        return false;
    }
    auto read = unpack<Message>(file.records[0]);
    if (read.ok()) {
        message = std::move(*read);
    }
    return read.ok();
}

// Applies a record to the state of the records before it; false if it leaves a gap in the log.
bool replay(const LogRecord &record, StoredState &state)
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
    state.entries.push_back(record.entry);
    return true;
}

StoredState damagedState()
{
    StoredState state;
    state.damaged = true;
    return state;
}

} // namespace

absl::StatusOr<StoredState> LogStore::load()
{
    StoredState state;
    const auto identity = disk_.read(identityFile);
    const auto log = disk_.read(logFile);
    if (!identity) {
        state.damaged = log.has_value();
        return state;
    }
    if (!log || !readSingle(*identity, state.identity)) {
        return damagedState();
    }
    const auto snapshot = disk_.read(snapshotFile);
    if (snapshot && !readSingle(*snapshot, state.snapshot)) {
        return damagedState();
    }
    loadedBytes_ = identity->size() + log->size() + (snapshot ? snapshot->size() : 0);
    const RecordFileContent file = readRecords(*log);
    logBytes_ = file.validBytes;
    if (file.damaged || file.records.empty()) {
        return damagedState();
    }
    for (const std::string &bytes : file.records) {
        const auto record = unpack<LogRecord>(bytes);
        if (!record.ok() || !replay(*record, state)) {
            return damagedState();
        }
    }
    if (file.validBytes < log->size()) {
        const absl::Status cut = disk_.replace(logFile, log->substr(0, file.validBytes));
        if (!cut.ok() && !isError(cut, ErrorKind::storageFull)) {
            return cut;
        }
        mustReplace_ = !cut.ok();
    }
    return state;
}

absl::Status LogStore::create(MemberId identity)
{
    // The identity is written last: load() requires a log wherever there is an identity.
    absl::Status status = disk_.replace(snapshotFile, frameRecord(pack(LogSnapshot())));
    status.Update(disk_.replace(logFile, framedRecord(HardState())));
    status.Update(disk_.replace(identityFile, frameRecord(pack(identity))));
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
