// The evacuated failure domains as an entry learns them from the control group's feed.
#include "coordination/entry/EntryCoordinator.h"
#include "kumquat/Event.h"

namespace kumquat {

// Returns true when the set changes. Sets of all members are ordered by their version, so an older
// one that arrives late changes nothing. A member of an earlier version that may name a first
// configuration leads a group that has no evacuations.
bool EntryCoordinator::mergeEvacuations(const std::string &member, const FeedResponse &response)
{
    const ConfigurationVersion version { response.evacuationEpoch, response.evacuationNumber };
    if (!(evacuationsVersion_ < version)) {
        evacuationsKnown_
            = evacuationsKnown_ || (!response.tracksEvacuations && response.number > 0);
        updateReadiness();
        return false;
    }
    const std::set<std::string> before = std::move(evacuatedDomains_);
    evacuatedDomains_ = { response.evacuatedDomains.begin(), response.evacuatedDomains.end() };
    evacuationsVersion_ = version;
    evacuationsKnown_ = true;
    for (const std::string &failureDomain : evacuatedDomains_) {
        if (before.count(failureDomain) == 0) {
            logEvent(Event::evacuationInForce, LogLevel::warning, "number={} member={} domain={}",
                     version.number, member, failureDomain);
        }
    }
    for (const std::string &failureDomain : before) {
        if (evacuatedDomains_.count(failureDomain) == 0) {
            logEvent(Event::evacuationEnded, LogLevel::warning, "number={} member={} domain={}",
                     version.number, member, failureDomain);
            returnTargets(failureDomain);
        }
    }
    updateReadiness();
    return before != evacuatedDomains_;
}

// Targets that had no requests for a while may have become cold unnoticed.
void EntryCoordinator::returnTargets(const std::string &failureDomain)
{
    const TimePoint now = Clock::now();
    targets_.forEach([this, &failureDomain, now](const TargetRecord &record) {
        const auto stats = stats_.find(record.name);
        if (record.failureDomain == failureDomain && stats != stats_.end()) {
            stats->second->assumeCold(now);
        }
    });
}

bool EntryCoordinator::isEvacuated(const TargetRecord &record) const
{
    return evacuatedDomains_.count(record.failureDomain) > 0;
}

} // namespace kumquat
