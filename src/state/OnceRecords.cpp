#include "state/OnceRecords.h"

namespace kumquat {

const char *oncePhaseName(OncePhase phase)
{
    static const char *const names[] = { "claimed", "done", "unknown" };
    return names[static_cast<int>(phase)];
}

const OnceRecord *OnceRecords::find(const OnceKey &key) const
{
    const auto found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second;
}

OnceReply OnceRecords::claim(const OnceRequest &request, std::size_t capacity,
                             std::chrono::milliseconds now)
{
    if (released_.count(request.attempt) > 0) {
        return { OnceStatus::pending, {} };
    }
    const OnceKey key { request.service, request.key };
    const auto found = records_.find(key);
    if (found == records_.end()) {
        if (records_.size() >= capacity) {
            return { OnceStatus::full, {} };
        }
        OnceRecord record;
        record.attempt = request.attempt;
        record.fingerprint = request.fingerprint;
        record.claimedAtMs = now.count();
        records_.emplace(key, std::move(record));
        return { OnceStatus::granted, {} };
    }
    const OnceRecord &record = found->second;
    if (record.fingerprint != request.fingerprint) {
        return { OnceStatus::mismatch, {} };
    }
    switch (record.phase) {
    case OncePhase::claimed:
        // The same attempt claims again if the reply to its first claim was lost.
        return { record.attempt == request.attempt ? OnceStatus::granted : OnceStatus::pending,
                 {} };
    case OncePhase::done:
        return { OnceStatus::done, record.response };
    case OncePhase::unknown:
        return { OnceStatus::unknown, {} };
    }
    return { OnceStatus::unknown, {} };
}

void OnceRecords::rememberRelease(std::uint64_t attempt)
{
    if (!released_.emplace(attempt, true).second) {
        return;
    }
    releaseOrder_.push_back(attempt);
    if (releaseOrder_.size() > 2 * minRememberedReleases) {
        for (std::size_t i = 0; i < minRememberedReleases; ++i) {
            released_.erase(releaseOrder_[i]);
        }
        releaseOrder_.erase(releaseOrder_.begin(),
                            releaseOrder_.begin()
                                + static_cast<std::ptrdiff_t>(minRememberedReleases));
    }
}

OnceReply OnceRecords::apply(const OnceRequest &request, std::size_t capacity,
                             std::chrono::milliseconds now)
{
    if (request.operation == OnceOperation::claim) {
        return claim(request, capacity, now);
    }
    const auto found = records_.find({ request.service, request.key });
    const bool isOwner = found != records_.end() && found->second.attempt == request.attempt
        && found->second.phase == OncePhase::claimed;
    if (request.operation == OnceOperation::release) {
        rememberRelease(request.attempt);
        if (isOwner) {
            records_.erase(found);
        }
    } else if (isOwner) {
        const bool complete = request.operation == OnceOperation::complete;
        found->second.phase = complete ? OncePhase::done : OncePhase::unknown;
        found->second.response = request.response;
    }
    return { OnceStatus::accepted, {} };
}

std::size_t OnceRecords::expire(std::chrono::milliseconds before)
{
    std::size_t removed = 0;
    for (auto record = records_.begin(); record != records_.end();) {
        if (record->second.claimedAtMs < before.count()) {
            record = records_.erase(record);
            ++removed;
        } else {
            ++record;
        }
    }
    return removed;
}

} // namespace kumquat
