// The disk of a simulated member.
#include "failure/GroupSimulation.h"

namespace kumquat::test {

bool FaultyDisk::consumeOperation()
{
    if (operationsLeft_ < 0) {
        return true;
    }
    return operationsLeft_-- > 0;
}

void FaultyDisk::notePeak(std::size_t replacementBytes)
{
    std::size_t bytes = replacementBytes;
    for (const auto &entry : files_) {
        bytes += entry.second.written.size();
    }
    peakBytes_ = std::max(peakBytes_, bytes);
}

Disk FaultyDisk::hooks()
{
    const auto crashed = [] { return makeError(ErrorKind::storageFailed, "crash", "restart"); };
    Disk disk;
    disk.read = [this](const std::string &name) {
        const auto found = files_.find(name);
        return found == files_.end() ? std::nullopt
                                     : std::optional<std::string>(found->second.written);
    };
    disk.size = [this](const std::string &name) {
        const auto found = files_.find(name);
        return found == files_.end() ? std::nullopt
                                     : std::optional<std::uint64_t>(found->second.written.size());
    };
    disk.readPart = [this](const std::string &name, std::uint64_t offset, std::size_t maxBytes) {
        return files_[name].written.substr(static_cast<std::size_t>(offset), maxBytes);
    };
    disk.truncate = [this, crashed](const std::string &name, std::uint64_t bytes) {
        if (!consumeOperation()) {
            return crashed();
        }
        files_[name].written.resize(static_cast<std::size_t>(bytes));
        files_[name].synced = files_[name].written;
        return absl::OkStatus();
    };
    const auto full = [] { return makeError(ErrorKind::storageFull, "full", "free space"); };
    disk.append = [this, crashed, full](const std::string &name, const std::string &bytes) {
        if (isFull_) {
            files_[name].written += bytes.substr(0, bytes.size() / 2);
            return full();
        }
        files_[name].written += bytes;
        notePeak(0);
        return consumeOperation() ? absl::OkStatus() : crashed();
    };
    disk.sync = [this, crashed](const std::string &name) {
        if (!consumeOperation()) {
            return crashed();
        }
        if (!ignoresSyncs_) {
            files_[name].synced = files_[name].written;
        }
        return absl::OkStatus();
    };
    disk.replace = [this, crashed, full](const std::string &name, const std::string &bytes) {
        if (isFull_) {
            return full();
        }
        if (!consumeOperation()) {
            return crashed();
        }
        notePeak(bytes.size());
        files_[name] = { bytes, bytes };
        return absl::OkStatus();
    };
    return disk;
}

void FaultyDisk::crash(Random &random)
{
    operationsLeft_ = -1;
    for (auto &entry : files_) {
        File &file = entry.second;
        // Part of the unsynced tail may have reached the disk, with its last record torn.
        const std::size_t unsynced = file.written.size() - file.synced.size();
        const std::size_t kept = ignoresSyncs_ ? 0 : randomBelow(random, unsynced + 1);
        file.written.resize(file.synced.size() + kept);
        file.synced = file.written;
    }
}

void FaultyDisk::eraseAllButIdentity(std::uint64_t epoch)
{
    const File identity = files_["identity"];
    files_.clear();
    LogStore store(hooks());
    (void)store.create(1);
    HardState hardState;
    hardState.epoch = epoch;
    (void)store.append(&hardState, {});
    files_["identity"] = identity;
}

} // namespace kumquat::test
