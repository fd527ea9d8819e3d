#include "coordination/policy/Quarantine.h"

namespace kumquat {

bool Quarantine::suspect(std::uint64_t fingerprint, const std::string &target, TimePoint now)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    forgetOld(now);
    if (suspects_.size() >= maxSuspects && suspects_.count(fingerprint) == 0) {
        return false;
    }
    Suspect &suspect = suspects_[fingerprint];
    count_.store(suspects_.size(), std::memory_order_relaxed);
    suspect.targets.insert(target);
    const bool convicts = !suspect.convicted && suspect.targets.size() >= targetsToConvict;
    suspect.convicted = suspect.convicted || convicts;
    suspect.until = now + (suspect.convicted ? quarantineTime : suspicionTime);
    return convicts;
}

void Quarantine::clear(std::uint64_t fingerprint)
{
    if (suspects() == 0) {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    suspects_.erase(fingerprint);
    count_.store(suspects_.size(), std::memory_order_relaxed);
}

bool Quarantine::isQuarantined(std::uint64_t fingerprint, TimePoint now)
{
    if (suspects() == 0) {
        return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = suspects_.find(fingerprint);
    return found != suspects_.end() && found->second.convicted && now < found->second.until;
}

void Quarantine::forgetOld(TimePoint now)
{
    for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
        suspect = now >= suspect->second.until ? suspects_.erase(suspect) : std::next(suspect);
    }
    count_.store(suspects_.size(), std::memory_order_relaxed);
}

} // namespace kumquat
