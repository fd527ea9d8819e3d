#pragma once
/// \file
/// Keeps a member's identity, hard state, log and snapshot on a disk.
/// A disk that is empty or damaged yields no identity: its member must join anew.

#include "protocol/RaftMessage.h"
#include "state/Disk.h"

#include <absl/status/statusor.h>

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

    /// Reads what is there; a torn tail is cut off.
    absl::StatusOr<StoredState> load();

    /// Begins anew under \p identity; whatever was there is given up.
    absl::Status create(MemberId identity);

    /// Appends and syncs; lasts on return.
    absl::Status append(const HardState *hardState, const std::vector<LogEntry> &entries);

    /// Replaces the log by a snapshot and the entries that follow it.
    absl::Status replace(const LogSnapshot &snapshot, const HardState &hardState,
                         const std::vector<LogEntry> &entries);

    std::uint64_t syncs() const { return syncs_; }
    std::uint64_t bytesWritten() const { return bytesWritten_; }

private:
    absl::Status write(const std::string &bytes);

    Disk disk_;
    std::uint64_t syncs_ = 0;
    std::uint64_t bytesWritten_ = 0;
};

} // namespace kumquat
