// Membership changes. A joining member first receives the log as a learner, then the member that
// it replaces is removed, then it becomes a voter; only one change is uncommitted at a time.
#include "coordination/consensus/Raft.h"

#include "protocol/Codec.h"

#include <algorithm>

namespace kumquat {

namespace {

constexpr std::uint64_t maxLearnerLag = 50; ///< in log entries
constexpr Milliseconds maxContactAge { 1'000 };
/// Short, so that a replacement votes within seconds and the group tolerates a second failure.
constexpr Milliseconds replaceVoterAfter { 1'500 };
constexpr Milliseconds dropLearnerAfter { 30'000 };

} // namespace

void Raft::receiveJoin(const RaftMessage &message, TimePoint now)
{
    const GroupMember *known = findMember(message.joiningMember.id);
    if (isLeader() && message.joiningMember.id != 0 && (known == nullptr || !known->voter)) {
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

bool Raft::isCaughtUp(MemberId id, TimePoint now) const
{
    const auto found = progress_.find(id);
    if (found == progress_.end()) {
        return false;
    }
    const Progress &progress = found->second;
    return progress.matchIndex + maxLearnerLag >= log_.lastIndex()
        && now - progress.lastContact < maxContactAge && progress.matchIndex > 0;
}

std::size_t Raft::votersIn(const std::string &failureDomain) const
{
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(), [&failureDomain](const GroupMember &member) {
            return member.voter && member.failureDomain == failureDomain;
        }));
}

// Returns a joining learner that is caught up, from the failure domain with the fewest voters.
const GroupMember *Raft::learnerToPromote(TimePoint now) const
{
    const GroupMember *best = nullptr;
    for (const GroupMember &member : members_) {
        if (member.voter || joiningMembers_.count(member.id) == 0 || !isCaughtUp(member.id, now)) {
            continue;
        }
        if (best == nullptr || votersIn(member.failureDomain) < votersIn(best->failureDomain)) {
            best = &member;
        }
    }
    return best;
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
    note.lagBytes = log_.bytesAfter(progress.matchIndex);
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
    const GroupMember *learner = learnerToPromote(now);
    if (learner == nullptr) {
        return;
    }
    // The replaced identity is removed before the new one may vote.
    const auto replaced = std::find_if(
        members_.begin(), members_.end(), [this, learner](const GroupMember &member) {
            const bool sameNameOrAddress
                = member.name == learner->name || member.address == learner->address;
            return sameNameOrAddress && member.id != learner->id && member.id != self_.id;
        });
    if (replaced != members_.end()) {
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
