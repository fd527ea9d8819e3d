#include "coordination/policy/Quarantine.h"

namespace kumquat {

bool Quarantine::recordFailure(std::uint64_t fingerprint, const std::string &target, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    removeExpired(now);
    if (suspects_.size() >= maxSuspects && suspects_.count(fingerprint) == 0) {
        return false;
    }
    Suspect &suspect = suspects_[fingerprint];
    suspectCount_.store(suspects_.size(), std::memory_order_relaxed);
    suspect.targets.insert(target);
    const bool newlyQuarantined
        = !suspect.isQuarantined && suspect.targets.size() >= quarantineThreshold;
    suspect.isQuarantined = suspect.isQuarantined || newlyQuarantined;
    suspect.expiresAt = now + (suspect.isQuarantined ? quarantineTime : suspectTime);
    return newlyQuarantined;
}

void Quarantine::recordSuccess(std::uint64_t fingerprint)
{
    if (suspectCount() == 0) {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    suspects_.erase(fingerprint);
    suspectCount_.store(suspects_.size(), std::memory_order_relaxed);
}

bool Quarantine::isQuarantined(std::uint64_t fingerprint, TimePoint now)
{
    if (suspectCount() == 0) {
        return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = suspects_.find(fingerprint);
    return found != suspects_.end() && found->second.isQuarantined && now < found->second.expiresAt;
}

void Quarantine::removeExpired(TimePoint now)
{
    for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
        suspect = now >= suspect->second.expiresAt ? suspects_.erase(suspect) : std::next(suspect);
    }
    suspectCount_.store(suspects_.size(), std::memory_order_relaxed);
}

} // namespace kumquat
