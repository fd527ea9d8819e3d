#pragma once
/// \file
/// Keeps what a member knows of the targets in an append-only file, for its next start.
/// A departure counts as stored once it is synced; changes that gather during a write are written
/// and synced together by the next one.

#include "coordination/membership/TargetFeed.h"
#include "state/Disk.h"

namespace kumquat {

struct TargetCacheHooks
{
    /// Runs \p work, which writes to the disk, and then calls \p done with its result on the
    /// caller's own thread. Each work must run exactly once, in the order of the calls.
    std::function<void(std::function<absl::Status()> work, std::function<void(absl::Status)> done)>
        runDiskWork;
    NowFunction now;
};

class TargetCache
{
public:
    TargetCache(Disk disk, TargetFeed &feed, TargetCacheHooks hooks);

    /// Merges the stored targets into the feed. Call it once, before anything else.
    void load();

    /// Writes changes that have waited long enough, and departures at once. Must be called several
    /// times a second.
    void tick();

    /// Writes what has changed without delay, or right after the write that is running.
    void flush();

    /// The changes up to this cursor of the feed are on disk.
    std::uint64_t storedCursor() const { return storedCursor_; }
    std::uint64_t bytesWritten() const { return bytesWritten_; }
    std::uint64_t syncs() const { return syncs_; }

private:
    void startWrite();
    void onWritten(std::uint64_t cursor, bool replaced, std::size_t bytes,
                   const absl::Status &status);
    bool mustCompact() const;

    Disk disk_;
    TargetFeed &feed_;
    TargetCacheHooks hooks_;
    std::uint64_t storedCursor_ = 0;
    bool isWriting_ = false;
    bool isFlushRequested_ = false;
    bool mustReplace_ = true; ///< the file may end in part of a record
    bool hasFailed_ = false; ///< the last write failed
    std::size_t fileBytes_ = 0;
    std::size_t compactedBytes_ = 0; ///< size of the file after it was last replaced
    TimePoint lastWriteAt_;
    std::uint64_t bytesWritten_ = 0;
    std::uint64_t syncs_ = 0;
};

} // namespace kumquat
