#pragma once
/// \file
/// Holds a record for each claimed key of a `once` request: its attempt and how that ended.
/// It is part of the replicated state machine and grants a key to one attempt at a time.

#include "protocol/OnceMessages.h"

#include <chrono>
#include <map>

namespace kumquat {

enum class OncePhase { claimed, done, unknown };

struct OnceRecord
{
    OncePhase phase = OncePhase::claimed;
    std::uint64_t attempt = 0; ///< that the key was granted to
    std::uint64_t fingerprint = 0;
    std::int64_t claimedAtMs = 0; ///< wall time of the leader that accepted the claim
    StoredResponse response;
    MSGPACK_DEFINE(phase, attempt, fingerprint, claimedAtMs, response)
};

struct OnceKey
{
    std::string service;
    std::string key;
    MSGPACK_DEFINE(service, key)
    bool operator<(const OnceKey &other) const
    {
        return service != other.service ? service < other.service : key < other.key;
    }
};

class OnceRecords
{
public:
    /// At least this many released attempts are remembered, so that a late copy of a claim is not
    /// granted.
    static constexpr std::size_t minRememberedReleases = 10'000;

    /// \p capacity is the most records kept; \p now is the leader's wall time from the command.
    OnceReply apply(const OnceRequest &request, std::size_t capacity,
                    std::chrono::milliseconds now);

    /// Removes records claimed before \p before; returns how many.
    std::size_t expire(std::chrono::milliseconds before);

    const OnceRecord *find(const OnceKey &key) const;
    std::size_t size() const { return records_.size(); }

    MSGPACK_DEFINE(records_, released_, releaseOrder_)

private:
    OnceReply claim(const OnceRequest &request, std::size_t capacity,
                    std::chrono::milliseconds now);
    void rememberRelease(std::uint64_t attempt);

    std::map<OnceKey, OnceRecord> records_;
    std::map<std::uint64_t, bool> released_;
    std::vector<std::uint64_t> releaseOrder_;
};

const char *oncePhaseName(OncePhase phase);

} // namespace kumquat

MSGPACK_ADD_ENUM(kumquat::OncePhase);
