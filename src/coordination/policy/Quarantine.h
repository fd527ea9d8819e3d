#pragma once
/// \file
/// Detects requests that crash the targets that run them, and keeps them from further targets.
/// A request is suspect when a target ended while it ran, and is quarantined when that has happened
/// at two targets. A target that answers its health path has not ended.

#include "common/Time.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace kumquat {

/// The suspect and quarantined requests, by fingerprint. Thread-safe.
class Quarantine
{
public:
    static constexpr std::size_t quarantineThreshold = 2; ///< distinct targets
    static constexpr Milliseconds suspectTime { 120'000 }; ///< since the last failure
    static constexpr Milliseconds quarantineTime { 60'000 }; ///< since the last failure
    static constexpr std::size_t maxSuspects = 10'000; ///< further ones are not recorded

    /// Records that \p target ended while it ran the request. True when this puts the request into
    /// quarantine.
    bool recordFailure(std::uint64_t fingerprint, const std::string &target, TimePoint now);

    /// Removes the request: a complete response shows that crashes of targets while it ran had
    /// another cause.
    void recordSuccess(std::uint64_t fingerprint);

    bool isQuarantined(std::uint64_t fingerprint, TimePoint now);

    /// Suspect and quarantined requests, including expired ones that are not removed yet.
    std::size_t suspectCount() const { return suspectCount_.load(std::memory_order_relaxed); }

private:
    struct Suspect
    {
        std::set<std::string> targets;
        TimePoint expiresAt;
        bool isQuarantined = false;
    };

    void removeExpired(TimePoint now);

    std::atomic<std::size_t> suspectCount_ { 0 }; ///< usually 0: requests then skip the lock
    std::mutex mutex_;
    std::map<std::uint64_t, Suspect> suspects_;
};

} // namespace kumquat
