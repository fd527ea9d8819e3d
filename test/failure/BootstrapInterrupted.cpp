// A member that is killed while it bootstraps the group takes part when it starts again.
#include "failure/GroupSimulation.h"

#include <absl/strings/str_cat.h>

using namespace kumquat;
using namespace kumquat::test;

namespace {

constexpr std::uint64_t bootstrapEpoch = 1;
constexpr int minDiskOperations = 3; ///< a snapshot, a log and an identity

GroupNodeOptions initialMember()
{
    GroupNodeOptions options;
    options.name = "member-0";
    options.address = "member-0";
    options.initialMembers = { "member-0", "member-1", "member-2" };
    return options;
}

/// As in the settings after the first start of the whole system.
GroupNodeOptions laterMember()
{
    GroupNodeOptions options = initialMember();
    options.initialMembers.clear();
    return options;
}

GroupNodeHooks virtualHooks()
{
    GroupNodeHooks hooks;
    hooks.now = [] { return TimePoint(Seconds(1'000)); };
    hooks.wallNow = [] { return Milliseconds(1'000); };
    hooks.send = [](const std::string &, const RaftMessage &) {};
    hooks.stateChanged = [] {};
    hooks.storeFailed = [](const absl::Status &) {};
    hooks.runDiskWork = [](std::function<absl::Status()> work,
                           const std::function<void(absl::Status)> &done) { done(work()); };
    return hooks;
}

bool starts(GroupNodeOptions options, FaultyDisk &disk)
{
    return GroupNode(std::move(options), disk.hooks(), virtualHooks()).start().ok();
}

MemberId identityAfterStart(GroupNodeOptions options, FaultyDisk &disk)
{
    GroupNode node(std::move(options), disk.hooks(), virtualHooks());
    CHECK_TRUE(node.start().ok());
    return node.raft().self().id;
}

/// Kills a start after \p operations disk operations; false if it needs no more than these.
bool killsStart(const GroupNodeOptions &options, FaultyDisk &disk, int operations)
{
    disk.failAfter(operations);
    const bool killed = !starts(options, disk);
    Random random(1);
    disk.crash(random);
    return killed;
}

/// A member that took part in the group: its log holds a vote.
void makeVoter(FaultyDisk &disk)
{
    const MemberId identity = identityAfterStart(initialMember(), disk);
    const HardState vote { bootstrapEpoch, 2, identity };
    LogStore store(disk.hooks());
    CHECK_TRUE(store.load().ok());
    CHECK_TRUE(store.append(&vote, {}).ok());
}

void loseIdentity(FaultyDisk &disk)
{
    const Disk hooks = disk.hooks();
    const std::string log = *hooks.read("log");
    const std::string snapshot = *hooks.read("snapshot");
    disk.eraseAll();
    CHECK_TRUE(hooks.replace("log", log).ok());
    CHECK_TRUE(hooks.replace("snapshot", snapshot).ok());
}

} // namespace

TEST_GROUP(BootstrapInterrupted) {};

TEST(BootstrapInterrupted, aKillAmidTheFirstWritesLeavesNoMemberThatNeverVotes)
{
    int operations = 0;
    for (bool killed = true; killed; ++operations) {
        FaultyDisk disk;
        killed = killsStart(initialMember(), disk, operations);
        GroupNode restarted(initialMember(), disk.hooks(), virtualHooks());
        CHECK_TRUE(restarted.start().ok());
        const std::string where = absl::StrCat("killed after ", operations, " disk operations");
        CHECK_TEXT(restarted.isVoter(), where.c_str());
        CHECK_TEXT(restarted.raft().epoch() == bootstrapEpoch, where.c_str());
    }
    CHECK_TRUE(operations > minDiskOperations);
}

TEST(BootstrapInterrupted, aMemberWithAHalfWrittenFolderJoinsAnewAfterTheFirstStart)
{
    FaultyDisk founder;
    const MemberId founding = identityAfterStart(initialMember(), founder);
    for (const bool first : { true, false }) {
        for (int operations = 0; operations < minDiskOperations; ++operations) {
            FaultyDisk disk;
            CHECK_TRUE(killsStart(first ? initialMember() : laterMember(), disk, operations));
            GroupNode restarted(laterMember(), disk.hooks(), virtualHooks());
            CHECK_TRUE(restarted.start().ok());
            CHECK_TRUE(restarted.raft().self().id != founding);
            CHECK_FALSE(restarted.isVoter());
            CHECK_TRUE(restarted.raft().epoch() == 0);
        }
    }
}

TEST(BootstrapInterrupted, aKillAmidTheRepairOfADamagedLogNeverBringsTheOldIdentityBack)
{
    int operations = 0;
    for (bool killed = true; killed; ++operations) {
        for (const bool first : { true, false }) {
            FaultyDisk disk;
            const MemberId founding = identityAfterStart(initialMember(), disk);
            CHECK_TRUE(disk.hooks().replace("log", "damaged").ok());
            const GroupNodeOptions options = first ? initialMember() : laterMember();
            killed = killsStart(options, disk, operations);
            const std::string where = absl::StrCat("killed after ", operations, " disk operations");
            CHECK_TEXT(identityAfterStart(options, disk) != founding, where.c_str());
        }
    }
    CHECK_TRUE(operations > minDiskOperations);
}

TEST(BootstrapInterrupted, aVoterThatLostItsIdentityNeverFoundsTheGroupAgain)
{
    FaultyDisk disk;
    makeVoter(disk);
    const MemberId voter = identityAfterStart(initialMember(), disk);
    loseIdentity(disk);
    CHECK_TRUE(identityAfterStart(initialMember(), disk) != voter);
}

TEST(BootstrapInterrupted, aDiskThatFillsAmidTheFirstWritesLeavesNoIdentity)
{
    FaultyDisk disk;
    disk.setFull(true);
    CHECK_FALSE(starts(initialMember(), disk));
    CHECK_FALSE(disk.hooks().size("identity").has_value());
    disk.setFull(false);
    GroupNode restarted(initialMember(), disk.hooks(), virtualHooks());
    CHECK_TRUE(restarted.start().ok());
    CHECK_TRUE(restarted.isVoter());
}

TEST(BootstrapInterrupted, aGroupIsFormedOnlyOnceItIsStored)
{
    FaultyDisk disk;
    TimePoint now(Seconds(1'000));
    std::deque<std::function<void()>> writes;
    GroupNodeHooks hooks = virtualHooks();
    hooks.now = [&now] { return now; };
    hooks.runDiskWork = [&writes](std::function<absl::Status()> work,
                                  const std::function<void(absl::Status)> &done) {
        writes.emplace_back([work = std::move(work), done] { done(work()); });
    };
    GroupNode node(laterMember(), disk.hooks(), hooks);
    CHECK_TRUE(node.start().ok());
    bool formed = false;
    node.formGroup([&formed](const absl::Status &status) { formed = status.ok(); });
    for (int tick = 0; tick < 500; ++tick, now += Milliseconds(20)) {
        node.tick();
    }
    CHECK_FALSE(formed);
    for (int tick = 0; tick < 500 && !formed; ++tick, now += Milliseconds(20)) {
        while (!writes.empty()) {
            const std::function<void()> write = std::move(writes.front());
            writes.pop_front();
            write();
        }
        node.tick();
    }
    CHECK_TRUE(formed);
    Random random(1);
    disk.crash(random);
    GroupNode restarted(laterMember(), disk.hooks(), virtualHooks());
    CHECK_TRUE(restarted.start().ok());
    CHECK_TRUE(restarted.isVoter());
}
