#include "coordination/control/TargetCache.h"

#include "kumquat/Error.h"
#include "kumquat/Event.h"
#include "protocol/Codec.h"
#include "state/RecordFile.h"

namespace kumquat {

namespace {

constexpr char fileName[] = "targets.log";
/// Changes other than departures are written at most this often.
constexpr Milliseconds writeInterval { 1'000 };
constexpr Milliseconds retryInterval { 250 };
/// The file is rewritten when it is larger than this many times its size after the last rewrite,
/// plus a constant.
constexpr std::size_t maxGrowth = 2;
constexpr std::size_t minCompactionBytes = 64 * 1024;

std::string framedItems(const std::vector<FeedItem> &items)
{
    std::string bytes;
    for (const FeedItem &item : items) {
        bytes += frameRecord(pack(item));
    }
    return bytes;
}

} // namespace

TargetCache::TargetCache(Disk disk, TargetFeed &feed, TargetCacheHooks hooks)
    : disk_(std::move(disk)), feed_(feed), hooks_(std::move(hooks))
{
}

void TargetCache::load()
{
    const auto content = disk_.read(fileName);
    const RecordFileContent file = readRecords(content.value_or(""));
    if (file.damaged) {
        logEvent(Event::targetCacheFailed, LogLevel::warning,
                 "the target cache is damaged after {} of {} bytes", file.validBytes,
                 content->size());
    }
    const TimePoint now = hooks_.now();
    for (const std::string &record : file.records) {
        const auto item = unpack<FeedItem>(record);
        if (item.ok()) {
            (void)feed_.mergeItem(*item, now);
        }
    }
    storedCursor_ = feed_.cursor();
}

void TargetCache::tick()
{
    const Milliseconds interval = hasFailed_ ? retryInterval : writeInterval;
    const bool isDue = hooks_.now() - lastWriteAt_ >= interval;
    const bool hasDeparture = feed_.departureCursor() > storedCursor_ && !hasFailed_;
    if (feed_.cursor() > storedCursor_ && (isDue || hasDeparture)) {
        flush();
    }
}

void TargetCache::flush()
{
    if (isWriting_) {
        isFlushRequested_ = true;
    } else if (feed_.cursor() > storedCursor_) {
        startWrite();
    }
}

bool TargetCache::mustCompact() const
{
    return mustReplace_ || fileBytes_ > maxGrowth * compactedBytes_ + minCompactionBytes;
}

void TargetCache::startWrite()
{
    lastWriteAt_ = hooks_.now();
    const bool replaces = mustCompact();
    const std::uint64_t cursor = feed_.cursor();
    const auto bytes = std::make_shared<const std::string>(
        framedItems(feed_.itemsAfter(replaces ? 0 : storedCursor_, lastWriteAt_)));
    isWriting_ = true;
    isFlushRequested_ = false;
    hooks_.runDiskWork(
        [this, bytes, replaces] {
            if (replaces) {
                return disk_.replace(fileName, *bytes);
            }
            const absl::Status appended = disk_.append(fileName, *bytes);
            return appended.ok() ? disk_.sync(fileName) : appended;
        },
        [this, cursor, replaces, bytes](const absl::Status &status) {
            onWritten(cursor, replaces, bytes->size(), status);
        });
}

void TargetCache::onWritten(std::uint64_t cursor, bool replaced, std::size_t bytes,
                            const absl::Status &status)
{
    isWriting_ = false;
    ++syncs_;
    bytesWritten_ += bytes;
    if (!status.ok() && !hasFailed_) {
        logEvent(Event::targetCacheFailed, LogLevel::warning,
                 "the target cache cannot be written: {}", std::string(status.message()));
    }
    hasFailed_ = !status.ok();
    mustReplace_ = hasFailed_;
    if (hasFailed_) {
        return;
    }
    storedCursor_ = cursor;
    fileBytes_ = replaced ? bytes : fileBytes_ + bytes;
    compactedBytes_ = replaced ? bytes : compactedBytes_;
    if (isFlushRequested_) {
        flush();
    }
}

} // namespace kumquat
