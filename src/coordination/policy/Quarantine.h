#pragma once
/// \file
/// Finds requests that end each target that runs them, and keeps them from further targets.
/// A request is suspect while a target's connection ended under it; two targets convict it.

#include "common/Time.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace kumquat {

class Quarantine
{
public:
    static constexpr std::size_t quarantineThreshold = 2;
    static constexpr Milliseconds suspectTime { 120'000 };
    static constexpr Milliseconds quarantineTime { 60'000 };
    static constexpr std::size_t maxSuspects = 10'000;

    /// True when this suspicion convicts the request.
    bool recordFailure(std::uint64_t fingerprint, const std::string &target, TimePoint now);

    /// A whole answer clears a request that merely stood by.
    void recordSuccess(std::uint64_t fingerprint);

    bool isQuarantined(std::uint64_t fingerprint, TimePoint now);

    std::size_t suspectCount() const { return suspectCount_.load(std::memory_order_relaxed); }

private:
    struct Suspect
    {
        std::set<std::string> targets;
        TimePoint expiresAt;
        bool isQuarantined = false;
    };

    void removeExpired(TimePoint now);

    std::atomic<std::size_t> suspectCount_ { 0 }; ///< lets the request path skip the lock
    std::mutex mutex_;
    std::map<std::uint64_t, Suspect> suspects_;
};

} // namespace kumquat
