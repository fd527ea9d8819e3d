#pragma once
/// \file
/// Decides which of the requests of one service may search for a target, in which order, and which
/// are refused at once. It does no input or output; callers tell it the time and every event.

#include "common/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace kumquat {

/// A request as the queue sees it.
struct AdmissionRequest
{
    std::string organisation; ///< empty: none
    int organisationPriority = 0; ///< 0 is the highest
    int routePriority = 0; ///< compared among equal priorities of organisations
    bool isBulk = false;
    TimePoint arrival;
    TimePoint objectiveEnd; ///< the response should be there by then
    TimePoint waitEnd; ///< when it is refused if no target was found
    /// To be called when the request should ask for a decision earlier than it planned.
    std::function<void()> wake = [] {};
};

enum class AdmissionDecision {
    search, ///< may search for a target now
    wait, ///< not its turn, or no target can have become free
    refuse, ///< its expected wait is longer than it may wait
};

/// What a decision was based on.
struct AdmissionInputs
{
    Microseconds expectedWait { 0 }; ///< 0: not known
    std::size_t queueLength = 0; ///< requests of the service that wait, this one included
};

/// The requests of one service at one worker that have no target yet. Not thread-safe.
class AdmissionQueue
{
public:
    using Id = std::uint64_t;

    /// Between two searches that find all targets full, unless a target was released in between.
    static constexpr Milliseconds searchInterval { 12 };
    /// A service in which a search found all targets full counts as loaded for this long.
    static constexpr Milliseconds loadedPeriod { 500 };

    Id enter(AdmissionRequest request, TimePoint now);
    AdmissionDecision decide(Id id, TimePoint now);
    /// When to ask for the next decision, unless woken before.
    TimePoint nextDecision(Id id, TimePoint now) const;
    AdmissionInputs inputs(Id id, TimePoint now) const;

    /// A search found no target. \p allFull: not even one that was declined; \p anyTarget: it did
    /// not leave out targets that other requests may use.
    void searchFailed(Id id, bool allFull, bool anyTarget, TimePoint now);
    /// The request got a target and leaves the queue.
    void started(Id id, TimePoint now);
    /// The request leaves the queue without a target.
    void leave(Id id, TimePoint now);
    /// A request of this entry ended at a target of the service.
    void targetReleased(TimePoint now);

    /// True while bulk requests leave the last free slot of a target to others.
    bool isLoaded(TimePoint now) const;
    /// True when the request takes no target's last free slot; a class that starves may take them.
    bool leavesLastSlots(Id id, TimePoint now) const;
    /// Requests that found all targets full, or wait behind such requests.
    std::size_t waitingCount() const;
    bool isEmpty() const { return entries_.empty(); }

private:
    /// Priorities of the organisation and the route, and whether responses are large.
    using Class = std::tuple<int, int, bool>;

    struct Entry
    {
        AdmissionRequest request;
        bool isWaiting = false;
        TimePoint searchedAt; ///< in vain, and no target was released since; else the epoch
        std::uint64_t releasesBefore = 0; ///< of targets, when its last search began
    };

    using Order = std::vector<Id>;

    static Class classOf(const AdmissionRequest &request);
    static bool isAged(const AdmissionRequest &request, TimePoint now);
    Microseconds expectedWait(std::size_t rank) const;
    std::size_t rankOf(Id id, TimePoint now) const;
    Order order(TimePoint now) const;
    Order byClassAndTurn(TimePoint now) const;
    std::map<Id, std::size_t> placesWithinOrganisations(TimePoint now) const;
    void moveAgedForward(Order &order, TimePoint now) const;
    void moveStarvedForward(Order &order) const;
    std::size_t rankIn(const Order &order, Id id) const;
    TimePoint nextSearch(const Entry &entry) const;
    bool isStarved(const AdmissionRequest &request) const;
    bool isContended() const { return waitingCount() > 0; }
    void recordStart(const Entry &entry, TimePoint now);
    void wakeFirst(TimePoint now);
    void remove(Id id);

    std::map<Id, Entry> entries_; ///< in order of arrival at the queue
    Id nextId_ = 1;
    std::map<Class, int> startsOfOthers_; ///< while a request of the class waited
    std::map<std::string, std::uint64_t> lastStartOf_; ///< of organisations, as a sequence number
    std::uint64_t starts_ = 0;
    std::uint64_t releases_ = 0; ///< of targets by requests of this entry
    std::optional<Class> fullFor_; ///< the class of the last search that found all targets full
    TimePoint fullAt_; ///< when that was; it also says until when the service counts as loaded
    TimePoint contendedSince_;
    TimePoint lastStart_;
    Microseconds startInterval_ { 0 }; ///< moving average while requests wait; 0: not known
};

} // namespace kumquat
