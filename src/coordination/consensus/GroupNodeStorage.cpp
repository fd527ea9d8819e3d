// What GroupNode writes to its disk: appended output, the whole log anew with a snapshot, and what
// happens while the disk is full.
#include "coordination/consensus/GroupNode.h"

#include "kumquat/Error.h"
#include "kumquat/Event.h"

namespace kumquat {

namespace {

/// Between two tries to write to a full disk.
constexpr Milliseconds diskFullRetryInterval { 250 };

} // namespace

void GroupNode::writePending()
{
    const auto output = std::make_shared<RaftOutput>(std::move(pendingOutput_));
    pendingOutput_ = RaftOutput();
    if (!output->mustStore() && !mustWriteAnew_) {
        sendMessages(output->messagesAfterStore);
        return;
    }
    auto done = [this, output](const absl::Status &status) { onStored(*output, status); };
    if (mustWriteAnew_ || output->snapshotInstalled) {
        writeAnew(std::move(done));
        return;
    }
    isWriting_ = true;
    hooks_.runDiskWork(
        [this, output, hardState = raft_->hardState()] {
            return store_.append(output->hardState ? &hardState : nullptr, output->entries);
        },
        std::move(done));
}

// Replaces the stored log by the one in memory, with its snapshot.
void GroupNode::writeAnew(std::function<void(absl::Status)> done)
{
    isWriting_ = true;
    mustWriteAnew_ = false;
    const RaftLog &log = raft_->log();
    hooks_.runDiskWork(
        [this, snapshot = log.sharedSnapshot(), hardState = raft_->hardState(),
         entries = log.slice(log.firstIndex(), SIZE_MAX)] {
            return store_.replace(*snapshot, hardState, entries);
        },
        std::move(done));
}

void GroupNode::onStored(const RaftOutput &output, const absl::Status &status)
{
    if (isError(status, ErrorKind::storageFull)) {
        onDiskFull(status);
        return;
    }
    if (!status.ok()) {
        hooks_.storeFailed(status);
        return;
    }
    isWriting_ = false;
    if (!output.entries.empty()) {
        const LogEntry &last = output.entries.back();
        markStored(last.index, last.term);
    }
    sendMessages(output.messagesAfterStore);
    processOutput();
}

// A member that forms a group had no entries before, so the first that are stored hold the group.
void GroupNode::markStored(std::uint64_t lastIndex, std::uint64_t lastTerm)
{
    raft_->markStored(lastIndex, lastTerm, hooks_.now());
    if (formed_ && lastIndex > 0) {
        const auto formed = std::move(formed_);
        formed_ = nullptr;
        formed(absl::OkStatus());
    }
}

void GroupNode::onDiskFull(const absl::Status &status)
{
    isWriting_ = false;
    nextReplaceAt_ = hooks_.now() + diskFullRetryInterval;
    if (!isDiskFull_) {
        isDiskFull_ = true;
        logEvent(Event::diskFull, LogLevel::error, "member={} leader={} {}", options_.name,
                 raft_->isLeader(), std::string(status.message()));
    }
    transferLeadership(); // again each time, since it needs a voter that has the whole log
}

// Stores everything anew, compacted, since the log on disk may end in part of a record. That covers
// the output up to now. Responses that may not be sent before are dropped, which the group takes
// for lost messages.
void GroupNode::replaceStore()
{
    pendingOutput_ = RaftOutput();
    mustWriteAnew_ = false;
    if (hooks_.now() < nextReplaceAt_) {
        return;
    }
    if (raft_->appliedIndex() > raft_->log().snapshot().index) {
        raft_->compact(raft_->appliedIndex(), state_.save());
    }
    writeAnew([this, lastIndex = raft_->log().lastIndex(), lastTerm = raft_->log().lastTerm()](
                  const absl::Status &status) { onReplaced(lastIndex, lastTerm, status); });
}

void GroupNode::onReplaced(std::uint64_t lastIndex, std::uint64_t lastTerm,
                           const absl::Status &status)
{
    if (isError(status, ErrorKind::storageFull)) {
        onDiskFull(status);
        return;
    }
    if (!status.ok()) {
        hooks_.storeFailed(status);
        return;
    }
    isWriting_ = false;
    isDiskFull_ = false;
    logEvent(Event::diskWritable, LogLevel::info, "member={} index={}", options_.name, lastIndex);
    markStored(lastIndex, lastTerm);
    processOutput();
}

} // namespace kumquat
