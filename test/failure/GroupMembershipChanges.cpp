// Membership changes across leader changes, on members without disks or clocks: what one majority
// has committed, no other majority replaces.
#include "TestSupport.h"
#include "coordination/consensus/Raft.h"

#include <absl/strings/str_cat.h>
#include <deque>
#include <map>

using namespace kumquat;
using namespace kumquat::test;

namespace {

GroupMember member(MemberId id, const std::string &address, bool voter)
{
    return { id, address, address, voter, "" };
}

/// Members that store at once, and messages that arrive in order unless `isLost`.
class Group
{
public:
    explicit Group(int voters)
    {
        for (int id = 1; id <= voters; ++id) {
            founders_.push_back(
                member(static_cast<MemberId>(id), absl::StrCat("member-", id), true));
        }
        for (const GroupMember &founder : founders_) {
            LogSnapshot snapshot;
            snapshot.epoch = 1;
            snapshot.index = 1;
            snapshot.term = 1;
            snapshot.members = founders_;
            RaftLog log;
            log.installSnapshot(snapshot);
            nodes_.emplace(founder.id, Raft(options(founder.id), founder, { 1, 1, 0 }, log, now));
        }
    }

    Raft &node(MemberId id) { return nodes_.at(id); }

    /// Starts a member with an empty disk.
    void startNew(MemberId id, const std::string &address)
    {
        nodes_.emplace(id, Raft(options(id), member(id, address, false), {}, RaftLog(), now));
    }

    void join(MemberId leader, MemberId id)
    {
        RaftMessage message;
        message.type = RaftMessageType::join;
        message.from = id;
        message.joiningMember = node(id).self();
        node(leader).receive(message, now);
        deliver();
    }

    void tick(MemberId id)
    {
        node(id).tick(now);
        deliver();
    }

    /// Does nothing if the member leads.
    void campaign(MemberId id)
    {
        if (node(id).isLeader()) {
            return;
        }
        RaftMessage message;
        message.type = RaftMessageType::timeoutNow;
        message.epoch = node(id).epoch();
        message.term = node(id).term();
        message.to = id;
        node(id).receive(message, now);
        deliver();
    }

    void propose(MemberId leader, const std::string &command)
    {
        CHECK(node(leader).propose(command, now).ok());
        deliver();
    }

    void deliver()
    {
        collect();
        while (!messages_.empty()) {
            const RaftMessage message = std::move(messages_.front());
            messages_.pop_front();
            if (nodes_.count(message.to) > 0 && !isLost(message)) {
                node(message.to).receive(message, now);
            }
            collect();
        }
    }

    std::function<bool(const RaftMessage &)> isLost = [](const RaftMessage &) { return false; };
    TimePoint now { Seconds(1'000) };

private:
    static RaftOptions options(MemberId id)
    {
        RaftOptions result;
        result.seed = id;
        return result;
    }

    void collect()
    {
        for (auto &entry : nodes_) {
            RaftOutput output = entry.second.takeOutput();
            if (!output.entries.empty()) {
                entry.second.markStored(output.entries.back().index, output.entries.back().term,
                                        now);
            }
            send(output.immediateMessages);
            send(output.messagesAfterStore);
            noteCommitted(entry.second);
        }
    }

    void send(const std::vector<RaftMessage> &messages)
    {
        messages_.insert(messages_.end(), messages.begin(), messages.end());
    }

    void noteCommitted(Raft &raft)
    {
        for (const LogEntry &entry : raft.takeCommitted(SIZE_MAX)) {
            const auto known = committed_.emplace(entry.index, entry.term).first;
            LONGS_EQUAL_TEXT(known->second, entry.term, "an entry that was committed is replaced");
        }
    }

    std::vector<GroupMember> founders_;
    std::map<MemberId, Raft> nodes_;
    std::deque<RaftMessage> messages_;
    std::map<std::uint64_t, std::uint64_t> committed_; ///< term by index
};

// Leader 1 promotes member 5, which only that one learns; then a majority of the four voters elects
// member 2, whose entries reach one of them. It hears that member 4 has lost its disk.
void changeTheGroupInTwoTerms(Group &group)
{
    group.campaign(1);
    group.startNew(5, "member-5");
    group.startNew(6, "member-4");
    group.join(1, 5);
    group.join(1, 6);
    group.propose(1, "before"); // tells the others that both are added
    LONGS_EQUAL(6, group.node(2).members().size());
    const auto isCut = [](const RaftMessage &message) {
        const bool fromMinority = message.from == 1 || message.from == 5;
        const bool toMinority = message.to == 1 || message.to == 5;
        return fromMinority != toMinority;
    };
    group.isLost = isCut;
    group.tick(1);
    CHECK(group.node(1).members()[4].voter);
    group.now += Seconds(2);
    group.isLost = [isCut](const RaftMessage &message) {
        return isCut(message) || (message.type == RaftMessageType::append && message.to == 4);
    };
    group.campaign(2);
    CHECK(group.node(2).isLeader());
    group.join(2, 6);
}

} // namespace

TEST_GROUP(GroupMembershipChanges) {};

TEST(GroupMembershipChanges, leaderChangesTheGroupBeforeItHasCommittedAnEntryOfItsTerm)
{
    Group group(4);
    changeTheGroupInTwoTerms(group);
    LONGS_EQUAL(group.node(3).log().latestMembersIndex(), group.node(4).log().latestMembersIndex());
    LONGS_EQUAL(group.node(2).log().latestMembersIndex(), group.node(4).log().latestMembersIndex());
}

TEST(GroupMembershipChanges, twoMajoritiesWithoutACommonMemberCommitDifferentEntries)
{
    Group group(4);
    changeTheGroupInTwoTerms(group);
    group.propose(2, "x");
    group.now += Seconds(2);
    group.isLost = [](const RaftMessage &message) {
        return message.from == 2 || message.to == 2 || message.from == 3 || message.to == 3;
    };
    group.tick(1); // notices that no majority responds
    group.campaign(1);
    group.campaign(1); // the first time in the term of member 2, in which member 4 has voted
    CHECK(group.node(1).isLeader());
    group.propose(1, "y");
}

TEST(GroupMembershipChanges, frozenVoterLeadsAgainWhileItsReplacementVotes)
{
    Group group(3);
    group.campaign(1);
    group.propose(1, "before");
    group.startNew(4, "member-3");
    const auto isFrozen
        = [](const RaftMessage &message) { return message.from == 3 || message.to == 3; };
    group.isLost = isFrozen;
    for (int step = 0; step < 20; ++step) {
        group.now += Milliseconds(100);
        group.join(1, 4);
        group.tick(1);
    }
    LONGS_EQUAL(3, group.node(1).members().size());
    CHECK(group.node(1).members()[2].id == 4 && group.node(1).members()[2].voter);
    group.propose(1, "after");

    // The former voter still counts itself; the leader is gone.
    group.now += Seconds(2);
    group.isLost = [](const RaftMessage &message) { return message.from == 1 || message.to == 1; };
    group.campaign(3);
    group.campaign(3);
    CHECK_FALSE(group.node(3).isLeader());
    group.campaign(2);
    group.campaign(2);
    CHECK(group.node(2).isLeader());
    group.propose(2, "later");
    LONGS_EQUAL(group.node(2).log().lastIndex(), group.node(2).commitIndex());
}

TEST(GroupMembershipChanges, replacementWithoutTheNewestEntryLeads)
{
    Group group(3);
    group.campaign(1);
    group.startNew(4, "member-3");
    const auto isFrozen
        = [](const RaftMessage &message) { return message.from == 3 || message.to == 3; };
    group.isLost = isFrozen;
    for (int step = 0; step < 20; ++step) {
        group.now += Milliseconds(100);
        group.join(1, 4);
        group.tick(1);
    }
    group.isLost = [isFrozen](const RaftMessage &message) {
        return isFrozen(message) || (message.to == 4 && !message.entries.empty());
    };
    CHECK(group.node(1).members()[2].id == 4 && group.node(1).members()[2].voter);
    group.propose(1, "acknowledged");
    const std::uint64_t committed = group.node(1).commitIndex();
    LONGS_EQUAL(group.node(1).log().lastIndex(), committed);
    group.now += Seconds(2);
    group.isLost = [](const RaftMessage &message) { return message.from == 1 || message.to == 1; };
    group.campaign(4);
    CHECK_FALSE(group.node(4).isLeader());
    group.campaign(3);
    group.campaign(3);
    CHECK_FALSE(group.node(3).isLeader());
    group.campaign(2);
    group.campaign(2);
    CHECK(group.node(2).isLeader());
    CHECK(group.node(2).commitIndex() >= committed);
}

TEST(GroupMembershipChanges, partsOfTwoSnapshotsAreMixed)
{
    Raft raft(RaftOptions(), member(9, "member-9", false), {}, RaftLog(), TimePoint(Seconds(1)));
    const auto part = [&raft](MemberId leader, std::uint64_t term, std::uint64_t index,
                              std::uint64_t offset, const std::string &data) {
        RaftMessage message;
        message.type = RaftMessageType::snapshotPart;
        message.epoch = 1;
        message.term = term;
        message.from = leader;
        message.to = 9;
        message.snapshot.epoch = 1;
        message.snapshot.index = index;
        message.snapshot.term = 1;
        message.snapshot.data = data;
        message.offset = offset;
        message.totalBytes = 6;
        raft.receive(message, TimePoint(Seconds(1)));
        return raft.log().snapshot().data;
    };
    STRCMP_EQUAL("", part(1, 2, 10, 0, "aaa").c_str());
    STRCMP_EQUAL("", part(2, 3, 10, 3, "bbb").c_str()); // of another leader
    STRCMP_EQUAL("", part(2, 3, 10, 0, "bbb").c_str());
    STRCMP_EQUAL("", part(2, 3, 11, 3, "ccc").c_str()); // of a later snapshot
    STRCMP_EQUAL("", part(2, 3, 11, 0, "ccc").c_str());
    STRCMP_EQUAL("", part(2, 3, 11, 0, "ccc").c_str()); // a copy
    STRCMP_EQUAL("", part(1, 2, 11, 3, "aaa").c_str()); // late, of an earlier term
    STRCMP_EQUAL("", part(2, 4, 11, 3, "ddd").c_str()); // of the same leader's later term
    STRCMP_EQUAL("", part(2, 4, 11, 0, "ddd").c_str());
    STRCMP_EQUAL("dddddd", part(2, 4, 11, 3, "ddd").c_str());
}
