// Membership changes. A joining member gets the log as a learner. The member in whose place it
// comes is removed before it votes; with an even number of voters it may vote before it has the
// whole log. Only one change is uncommitted at a time.
#include "coordination/consensus/Raft.h"

#include "protocol/Codec.h"

#include <algorithm>

namespace kumquat {

namespace {

constexpr std::uint64_t maxLearnerLag = 50; ///< in log entries
constexpr std::uint64_t maxLearnerLagBytes = 1024 * 1024;
constexpr Milliseconds maxContactAge { 1'000 };
/// Short, so that a replacement votes within seconds and the group tolerates a second failure.
constexpr Milliseconds replaceVoterAfter { 1'500 };
constexpr Milliseconds dropLearnerAfter { 30'000 };

} // namespace

void Raft::receiveJoin(const RaftMessage &message, TimePoint now)
{
    const GroupMember *known = findMember(message.joiningMember.id);
    if (isLeader() && message.joiningMember.id != 0 && (known == nullptr || !known->voter)) {
        // An address has one disk at a time, so a new identity there ends the earlier ones.
        for (auto joining = joiningMembers_.begin(); joining != joiningMembers_.end();) {
            const bool isOther = joining->first != message.joiningMember.id
                && joining->second.address == message.joiningMember.address;
            joining = isOther ? joiningMembers_.erase(joining) : std::next(joining);
        }
        joiningMembers_[message.joiningMember.id] = message.joiningMember;
        advanceMembership(now);
    }
}

bool Raft::isMembershipCommitted() const
{
    return commitIndex_ >= log_.latestMembersIndex() && commitIndex_ >= termStartIndex_;
}

void Raft::appendMembership(const std::vector<GroupMember> &members, TimePoint now)
{
    LogEntry entry;
    entry.index = log_.lastIndex() + 1;
    entry.term = hardState_.term;
    entry.type = EntryType::membership;
    entry.payload = pack(members);
    append(std::move(entry));
    for (const GroupMember &member : members_) {
        if (progress_.count(member.id) == 0) {
            progress_[member.id].nextIndex = log_.lastIndex();
            progress_[member.id].since = now;
        }
    }
    broadcast(now);
}

bool Raft::isResponsive(MemberId id, TimePoint now) const
{
    const auto found = progress_.find(id);
    return found != progress_.end() && found->second.ackedRound > 0
        && now - found->second.lastContact < maxContactAge;
}

// Of what must be sent to a member whose log agrees up to \p matchIndex.
std::uint64_t Raft::lagBytes(std::uint64_t matchIndex) const
{
    const LogSnapshot &snapshot = log_.snapshot();
    return log_.bytesAfter(matchIndex) + (matchIndex < snapshot.index ? snapshot.data.size() : 0);
}

bool Raft::isCaughtUp(MemberId id, TimePoint now) const
{
    const auto found = progress_.find(id);
    if (found == progress_.end() || !isResponsive(id, now)) {
        return false;
    }
    const std::uint64_t matchIndex = found->second.matchIndex;
    return matchIndex > 0 && matchIndex + maxLearnerLag >= log_.lastIndex()
        && lagBytes(matchIndex) <= maxLearnerLagBytes;
}

// With an even number of voters, one more does not raise the number that a majority needs, so the
// group can do no less with a voter that still gets the log than without it. It can do more: the
// votes of the new voter and of one other are a majority as soon as the log is sent. With an odd
// number the majority grows, so the new voter must be caught up.
bool Raft::mayBePromoted(const GroupMember &learner, TimePoint now) const
{
    return !learner.voter && joiningMembers_.count(learner.id) > 0
        && (isCaughtUp(learner.id, now)
            || (voterCount() % 2 == 0 && isResponsive(learner.id, now)));
}

std::size_t Raft::votersIn(const std::string &failureDomain) const
{
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(), [&failureDomain](const GroupMember &member) {
            return member.voter && member.failureDomain == failureDomain;
        }));
}

// Returns a joining learner, rather one that is caught up, from the failure domain with the fewest
// voters.
const GroupMember *Raft::learnerToPromote(TimePoint now) const
{
    const auto rank = [this, now](const GroupMember &member) {
        return std::make_pair(isCaughtUp(member.id, now) ? 0 : 1, votersIn(member.failureDomain));
    };
    const GroupMember *best = nullptr;
    for (const GroupMember &member : members_) {
        if (mayBePromoted(member, now) && (best == nullptr || rank(member) < rank(*best))) {
            best = &member;
        }
    }
    return best;
}

// Returns the member whose place \p learner takes, or null.
const GroupMember *Raft::predecessorOf(const GroupMember &learner) const
{
    for (const GroupMember &member : members_) {
        const bool sameNameOrAddress
            = member.name == learner.name || member.address == learner.address;
        if (sameNameOrAddress && member.id != learner.id && member.id != self_.id) {
            return &member;
        }
    }
    return nullptr;
}

// Returns a silent voter in whose place a learner responds: it is taken to have lost its disk. To
// remove it at once lowers neither safety nor liveness: a majority without it needs no more of the
// others than before, and the removal is itself an entry that both majorities store. If it was only
// frozen, its old membership can win no vote, since a majority has stored the removal; it joins
// again.
const GroupMember *Raft::voterWithLostDisk(TimePoint now) const
{
    for (const GroupMember &learner : members_) {
        if (learner.voter || joiningMembers_.count(learner.id) == 0
            || !isResponsive(learner.id, now)) {
            continue;
        }
        const GroupMember *lost = predecessorOf(learner);
        const auto progress = lost == nullptr ? progress_.end() : progress_.find(lost->id);
        if (progress != progress_.end() && lost->voter
            && now - progress->second.lastContact > options_.minElectionTimeout) {
            return lost;
        }
    }
    return nullptr;
}

// Returns another member, a voter or a learner, that has not answered for too long.
const GroupMember *Raft::unresponsiveMember(bool voter, Milliseconds longerThan,
                                            TimePoint now) const
{
    for (const GroupMember &member : members_) {
        const auto progress = progress_.find(member.id);
        const bool unresponsive
            = progress != progress_.end() && now - progress->second.lastContact > longerThan;
        if (member.id != self_.id && member.voter == voter && unresponsive) {
            return &member;
        }
    }
    return nullptr;
}

void Raft::noteMembership(MembershipStep step, const GroupMember &member, TimePoint now)
{
    const Progress progress = progress_[member.id];
    MembershipNote note;
    note.step = step;
    note.member = member;
    note.lagEntries = log_.lastIndex() - std::min(log_.lastIndex(), progress.matchIndex);
    note.lagBytes = lagBytes(progress.matchIndex);
    note.sentBytes = progress.sentBytes;
    note.elapsed = std::chrono::duration_cast<Milliseconds>(now - progress.since);
    notes_.push_back(std::move(note));
}

void Raft::removeMember(MemberId id, TimePoint now)
{
    noteMembership(MembershipStep::removed, *findMember(id), now);
    std::vector<GroupMember> changed = members_;
    changed.erase(std::remove_if(changed.begin(), changed.end(),
                                 [id](const GroupMember &member) { return member.id == id; }),
                  changed.end());
    joiningMembers_.erase(id);
    appendMembership(changed, now);
}

void Raft::promoteToVoter(MemberId id, TimePoint now)
{
    noteMembership(MembershipStep::promoted, *findMember(id), now);
    std::vector<GroupMember> changed = members_;
    for (GroupMember &member : changed) {
        member.voter = member.voter || member.id == id;
    }
    joiningMembers_.erase(id);
    appendMembership(changed, now);
}

bool Raft::addLearner(TimePoint now)
{
    for (const auto &entry : joiningMembers_) {
        if (findMember(entry.first) != nullptr) {
            continue;
        }
        std::vector<GroupMember> changed = members_;
        changed.push_back(entry.second);
        changed.back().voter = false;
        appendMembership(changed, now);
        noteMembership(MembershipStep::added, changed.back(), now);
        return true;
    }
    return false;
}

// Makes one change at a time, each committed before the next: with two uncommitted changes there
// could be two majorities without a common member.
void Raft::advanceMembership(TimePoint now)
{
    if (!isLeader() || joiningMembers_.empty() || !isMembershipCommitted() || addLearner(now)) {
        return;
    }
    const GroupMember *lost = voterWithLostDisk(now);
    if (lost != nullptr) {
        removeMember(lost->id, now);
        return;
    }
    const GroupMember *learner = learnerToPromote(now);
    if (learner == nullptr) {
        return;
    }
    // The replaced identity is removed before the new one may vote.
    const GroupMember *replaced = predecessorOf(*learner);
    if (replaced != nullptr) {
        removeMember(replaced->id, now);
        return;
    }
    if (options_.maxVoters == 0 || voterCount() < options_.maxVoters) {
        promoteToVoter(learner->id, now);
        return;
    }
    const GroupMember *unresponsive = unresponsiveMember(true, replaceVoterAfter, now);
    if (unresponsive == nullptr) {
        unresponsive = unresponsiveMember(false, dropLearnerAfter, now);
    }
    if (unresponsive != nullptr) {
        removeMember(unresponsive->id, now);
    }
}

} // namespace kumquat
