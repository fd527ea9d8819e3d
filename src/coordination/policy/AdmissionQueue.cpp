#include "coordination/policy/AdmissionQueue.h"

#include <algorithm>

namespace kumquat {

namespace {

/// Requests that search for a target at a time while others wait. More searches cost load probes
/// and find the same targets full.
constexpr std::size_t maxSearches = 1;
/// A class that waits gets at least one of this many starts.
constexpr int startsPerTurn = 10;
/// A request that has waited for its allowed wait divided by this goes before newer ones.
constexpr int agedWaitDivisor = 2;
/// A new sample of the interval between two starts weighs one divided by this.
constexpr int startIntervalWeightDivisor = 4;
/// Requests that may wait; the cost of ordering them grows with their square.
constexpr std::size_t maxWaiting = 256;
/// Organisations whose turns are remembered. Forgetting them costs each one turn at most.
constexpr std::size_t maxRememberedOrganisations = 1'024;

} // namespace

AdmissionQueue::Class AdmissionQueue::classOf(const AdmissionRequest &request)
{
    return { request.organisationPriority, request.routePriority, request.isBulk };
}

bool AdmissionQueue::isAged(const AdmissionRequest &request, TimePoint now)
{
    return now - request.arrival >= (request.waitEnd - request.arrival) / agedWaitDivisor;
}

AdmissionQueue::Id AdmissionQueue::enter(AdmissionRequest request, TimePoint now)
{
    const Id id = nextId_++;
    Entry entry { std::move(request), false, TimePoint() };
    entry.isWaiting = isContended() || now < nextSearch(entry);
    if (entry.isWaiting && !isContended()) {
        contendedSince_ = now;
    }
    entries_.emplace(id, std::move(entry));
    return id;
}

AdmissionDecision AdmissionQueue::decide(Id id, TimePoint now)
{
    Entry &entry = entries_.at(id);
    const std::size_t rank = entry.isWaiting ? rankOf(id, now) : 0;
    const bool isTooLate = rank >= maxWaiting || now + expectedWait(rank) > entry.request.waitEnd;
    if (entry.isWaiting && isTooLate) {
        return AdmissionDecision::refuse;
    }
    if (rank >= maxSearches || now < nextSearch(entry)) {
        return AdmissionDecision::wait;
    }
    entry.releasesBefore = releases_;
    return AdmissionDecision::search;
}

TimePoint AdmissionQueue::nextDecision(Id id, TimePoint now) const
{
    const Entry &entry = entries_.at(id);
    const bool isFirst = !entry.isWaiting || rankOf(id, now) < maxSearches;
    const TimePoint next = std::max(nextSearch(entry), now);
    return isFirst ? std::min(next, entry.request.waitEnd) : entry.request.waitEnd;
}

AdmissionInputs AdmissionQueue::inputs(Id id, TimePoint now) const
{
    return { expectedWait(rankOf(id, now)), waitingCount() };
}

// A request that declined a target searches for a faster one on its own and holds up no other. One
// that left a last slot to others says nothing of whether they find a target. A target that was
// released during the search may be free although the search found it full.
void AdmissionQueue::searchFailed(Id id, bool allFull, bool anyTarget, TimePoint now)
{
    Entry &entry = entries_.at(id);
    const bool isOutdated = releases_ != entry.releasesBefore;
    entry.searchedAt = isOutdated ? TimePoint() : now;
    if (allFull && !isContended()) {
        contendedSince_ = now;
    }
    entry.isWaiting = allFull;
    if (allFull && anyTarget && !entry.request.isBulk) {
        fullFor_ = isOutdated ? std::nullopt : std::optional<Class>(classOf(entry.request));
        fullAt_ = now;
    }
    wakeFirst(now);
}

void AdmissionQueue::started(Id id, TimePoint now)
{
    recordStart(entries_.at(id), now);
    remove(id);
    wakeFirst(now);
}

void AdmissionQueue::leave(Id id, TimePoint now)
{
    remove(id);
    wakeFirst(now);
}

void AdmissionQueue::targetReleased(TimePoint now)
{
    ++releases_;
    fullFor_.reset();
    for (auto &item : entries_) {
        item.second.searchedAt = TimePoint();
    }
    wakeFirst(now);
}

Microseconds AdmissionQueue::expectedWait(std::size_t rank) const
{
    return startInterval_ * (static_cast<std::int64_t>(rank) + 1);
}

bool AdmissionQueue::isLoaded(TimePoint now) const
{
    return isContended() || (fullAt_ != TimePoint() && now - fullAt_ < loadedPeriod);
}

bool AdmissionQueue::leavesLastSlots(Id id, TimePoint now) const
{
    const AdmissionRequest &request = entries_.at(id).request;
    return request.isBulk && isLoaded(now) && !isStarved(request);
}

std::size_t AdmissionQueue::waitingCount() const
{
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(), [](const auto &item) { return item.second.isWaiting; }));
}

// When a search of this request can find a target that the last searches did not find.
TimePoint AdmissionQueue::nextSearch(const Entry &entry) const
{
    const bool wasFull = fullFor_.has_value() && classOf(entry.request) >= *fullFor_;
    const TimePoint own
        = entry.searchedAt == TimePoint() ? TimePoint() : entry.searchedAt + searchInterval;
    return wasFull ? std::max(own, fullAt_ + searchInterval) : own;
}

std::size_t AdmissionQueue::rankOf(Id id, TimePoint now) const
{
    return rankIn(order(now), id);
}

// Bulk requests hold up no others: those may use the last slots that bulk requests leave.
std::size_t AdmissionQueue::rankIn(const Order &order, Id id) const
{
    const bool countsBulk = entries_.at(id).request.isBulk;
    const auto own = std::find(order.begin(), order.end(), id);
    return static_cast<std::size_t>(std::count_if(order.begin(), own, [this, countsBulk](Id other) {
        return countsBulk || !entries_.at(other).request.isBulk;
    }));
}

AdmissionQueue::Order AdmissionQueue::order(TimePoint now) const
{
    Order ids = byClassAndTurn(now);
    moveAgedForward(ids, now);
    moveStarvedForward(ids);
    return ids;
}

// The second request of an organisation comes after the first ones of all others of its class.
std::map<AdmissionQueue::Id, std::size_t>
AdmissionQueue::placesWithinOrganisations(TimePoint now) const
{
    std::vector<std::tuple<Class, std::string, bool, TimePoint, Id>> sorted;
    for (const auto &[id, entry] : entries_) {
        const AdmissionRequest &request = entry.request;
        if (entry.isWaiting) {
            sorted.emplace_back(classOf(request), request.organisation, request.objectiveEnd <= now,
                                request.objectiveEnd, id);
        }
    }
    std::sort(sorted.begin(), sorted.end());
    std::map<Id, std::size_t> places;
    std::map<std::pair<Class, std::string>, std::size_t> counts;
    for (const auto &item : sorted) {
        const auto &[priority, organisation, isLate, end, id] = item;
        places[id] = counts[{ priority, organisation }]++;
    }
    return places;
}

AdmissionQueue::Order AdmissionQueue::byClassAndTurn(TimePoint now) const
{
    std::vector<std::tuple<Class, std::size_t, std::uint64_t, TimePoint, Id>> sorted;
    for (const auto &[id, place] : placesWithinOrganisations(now)) {
        const AdmissionRequest &request = entries_.at(id).request;
        const auto last = lastStartOf_.find(request.organisation);
        const std::uint64_t turn = last == lastStartOf_.end() ? 0 : last->second;
        sorted.emplace_back(classOf(request), place, turn, request.objectiveEnd, id);
    }
    std::sort(sorted.begin(), sorted.end());
    Order ids;
    ids.reserve(sorted.size());
    for (const auto &item : sorted) {
        ids.push_back(std::get<4>(item));
    }
    return ids;
}

void AdmissionQueue::moveAgedForward(Order &order, TimePoint now) const
{
    for (std::size_t i = 0; i < order.size(); ++i) {
        const AdmissionRequest &aged = entries_.at(order[i]).request;
        if (!isAged(aged, now)) {
            continue;
        }
        const auto own = order.begin() + static_cast<std::ptrdiff_t>(i);
        const auto newer = std::find_if(order.begin(), own, [this, &aged](Id id) {
            const AdmissionRequest &other = entries_.at(id).request;
            return classOf(other) < classOf(aged) && other.arrival > aged.arrival;
        });
        std::rotate(newer, own, own + 1);
    }
}

bool AdmissionQueue::isStarved(const AdmissionRequest &request) const
{
    const auto starts = startsOfOthers_.find(classOf(request));
    return starts != startsOfOthers_.end() && starts->second >= startsPerTurn - 1;
}

void AdmissionQueue::moveStarvedForward(Order &order) const
{
    const auto starved = std::find_if(order.begin(), order.end(),
                                      [this](Id id) { return isStarved(entries_.at(id).request); });
    if (starved != order.end()) {
        std::rotate(order.begin(), starved, starved + 1);
    }
}

void AdmissionQueue::recordStart(const Entry &entry, TimePoint now)
{
    if (lastStartOf_.size() >= maxRememberedOrganisations) {
        lastStartOf_.clear();
    }
    lastStartOf_[entry.request.organisation] = ++starts_;
    const Class started = classOf(entry.request);
    std::map<Class, int> waiting;
    for (const auto &item : entries_) {
        const Class other = classOf(item.second.request);
        if (item.second.isWaiting && other != started) {
            waiting[other] = startsOfOthers_[other] + 1;
        }
    }
    startsOfOthers_ = std::move(waiting);
    if (!entry.isWaiting) {
        return;
    }
    const auto interval
        = std::chrono::duration_cast<Microseconds>(now - std::max(lastStart_, contendedSince_));
    startInterval_ = startInterval_ == Microseconds(0)
        ? interval
        : startInterval_ + (interval - startInterval_) / startIntervalWeightDivisor;
    lastStart_ = now;
}

void AdmissionQueue::wakeFirst(TimePoint now)
{
    const Order ids = order(now);
    std::size_t others = 0;
    for (std::size_t i = 0; i < ids.size() && others < maxSearches; ++i) {
        const AdmissionRequest &request = entries_.at(ids[i]).request;
        others += request.isBulk ? 0 : 1;
        if (!request.isBulk || i < maxSearches) {
            request.wake();
        }
    }
}

// What was learnt of the last overload says nothing of the next one.
void AdmissionQueue::remove(Id id)
{
    entries_.erase(id);
    if (!isContended()) {
        startInterval_ = Microseconds(0);
        startsOfOthers_.clear();
    }
}

} // namespace kumquat
