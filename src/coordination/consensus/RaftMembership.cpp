// How a group takes in members: a joining identity first learns the log, then the identity that
// it replaces is removed, then it becomes a voter; one committed change at a time.
#include "coordination/consensus/Raft.h"

#include "protocol/Codec.h"

#include <algorithm>

namespace kumquat {

namespace {

constexpr std::uint64_t caughtUpWithin = 50;
constexpr Milliseconds recentContact { 1'000 };

} // namespace

void Raft::receiveJoin(const RaftMessage &message, TimePoint now)
{
    const GroupMember *known = find(message.joining.id);
    if (leads() && message.joining.id != 0 && (known == nullptr || !known->voter)) {
        joining_[message.joining.id] = message.joining;
        advanceMembership(now);
    }
}

bool Raft::membershipSettled() const
{
    return commit_ >= log_.latestMembersIndex() && commit_ >= leaderFirstIndex_;
}

void Raft::appendMembers(const std::vector<GroupMember> &members, TimePoint now)
{
    LogEntry entry;
    entry.index = log_.lastIndex() + 1;
    entry.term = hard_.term;
    entry.type = EntryType::membership;
    entry.payload = pack(members);
    append(std::move(entry));
    for (const GroupMember &member : members_) {
        if (progress_.count(member.id) == 0) {
            progress_[member.id].next = log_.lastIndex();
        }
    }
    broadcast(now);
}

void Raft::advanceMembership(TimePoint now)
{
    if (!leads() || joining_.empty() || !membershipSettled()) {
        return;
    }
    const GroupMember joining = joining_.begin()->second;
    const GroupMember *known = find(joining.id);
    std::vector<GroupMember> next = members_;
    if (known == nullptr) {
        GroupMember learner = joining;
        learner.voter = false;
        next.push_back(learner);
        appendMembers(next, now);
        return;
    }
    if (known->voter) {
        joining_.erase(joining.id);
        return;
    }
    const Progress &progress = progress_[joining.id];
    const bool caughtUp = progress.match + caughtUpWithin >= log_.lastIndex()
        && now - progress.heardAt < recentContact && progress.match > 0;
    if (!caughtUp) {
        return;
    }
    // The old identity goes before the new one may vote: both at once could form two majorities.
    const auto old = std::find_if(next.begin(), next.end(), [&joining](const GroupMember &member) {
        return member.name == joining.name && member.id != joining.id;
    });
    if (old != next.end()) {
        next.erase(old);
        appendMembers(next, now);
        return;
    }
    for (GroupMember &member : next) {
        member.voter = member.voter || member.id == joining.id;
    }
    joining_.erase(joining.id);
    appendMembers(next, now);
}

} // namespace kumquat
