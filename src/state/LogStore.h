#pragma once
/// \file
/// Stores a member's identity, hard state, log and snapshot on a disk.
/// An empty or damaged disk yields no identity; the member must then join as a new one.

#include "protocol/RaftMessage.h"
#include "state/Disk.h"

#include <absl/status/statusor.h>
#include <atomic>

namespace kumquat {

struct StoredState
{
    MemberId identity = 0; ///< 0: the disk was empty or damaged
    bool damaged = false;
    HardState hardState;
    LogSnapshot snapshot; ///< index 0: none
    std::vector<LogEntry> entries; ///< after the snapshot, without gaps
};

class LogStore
{
public:
    explicit LogStore(Disk disk) : disk_(std::move(disk)) { }

    /// Reads the stored state; truncates a torn write at the end of the log.
    absl::StatusOr<StoredState> load();

    /// Initialises the disk for \p identity and discards what was stored. Until it has succeeded,
    /// load() yields no identity.
    absl::Status create(MemberId identity, const LogSnapshot &snapshot = LogSnapshot(),
                        const HardState &hardState = HardState());

    /// Appends \p hardState, unless null, and \p entries; durable on return. Must not be called
    /// while mustReplace().
    absl::Status append(const HardState *hardState, const std::vector<LogEntry> &entries);

    /// Replaces the log by a snapshot and the entries that follow it.
    absl::Status replace(const LogSnapshot &snapshot, const HardState &hardState,
                         const std::vector<LogEntry> &entries);

    /// True after a write to a full disk, which may have left part of a record at the end of the
    /// log; only replace() makes the log writable again.
    bool mustReplace() const { return mustReplace_; }

    std::uint64_t syncs() const { return syncs_; }
    std::uint64_t bytesWritten() const { return bytesWritten_; }
    std::uint64_t logBytes() const { return logBytes_; } ///< of the log file
    std::uint64_t loadedBytes() const { return loadedBytes_; } ///< of all files, at the start

private:
    absl::Status write(const std::string &bytes);
    absl::StatusOr<StoredState> cutTornTail(std::uint64_t validBytes, std::uint64_t fileBytes,
                                            StoredState state);

    Disk disk_;
    std::uint64_t syncs_ = 0;
    std::uint64_t bytesWritten_ = 0;
    std::atomic<std::uint64_t> logBytes_ { 0 }; // written by the thread of the disk
    std::uint64_t loadedBytes_ = 0;
    bool mustReplace_ = false;
};

} // namespace kumquat
