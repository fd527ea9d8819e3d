#include "failure/GroupSimulation.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace kumquat::test {

namespace {

constexpr Milliseconds tickInterval { 20 };

OnceRequest onceRequest(OnceOperation operation, int key, std::uint64_t attempt)
{
    OnceRequest request;
    request.operation = operation;
    request.service = "orders";
    request.key = absl::StrCat("key-", key);
    request.attempt = attempt;
    return request;
}

} // namespace

// The simulation.

std::string GroupSimulation::addressOf(int member)
{
    return absl::StrCat("member-", member);
}

GroupSimulation::GroupSimulation(GroupSimulationOptions options)
    : options_(options), random_(options.seed), members_(static_cast<std::size_t>(options.members))
{
    for (int member = 0; member < options_.members; ++member) {
        if (options_.ignoreSyncs) {
            members_[static_cast<std::size_t>(member)].disk.ignoreSyncs();
        }
        if (options_.startWindow.count() > 0) {
            const auto delay
                = randomBelow(random_, static_cast<std::size_t>(options_.startWindow.count()));
            schedule(Milliseconds(delay), [this, member] { start(member); });
        } else {
            start(member);
        }
    }
    if (options_.initialMembers == 0) {
        node(0)->formGroup([](const absl::Status &) {});
    }
    run(Seconds(5));
}

void GroupSimulation::schedule(Clock::duration delay, std::function<void()> action)
{
    events_.push({ now_ + delay, nextSequence_++, std::move(action) });
}

void GroupSimulation::runOnMember(int index, int generation, std::function<void()> action)
{
    Member &member = members_[static_cast<std::size_t>(index)];
    if (member.generation != generation || !member.node) {
        return;
    }
    if (member.frozen) {
        member.deferred.push_back(
            [this, index, generation, action] { runOnMember(index, generation, action); });
        return;
    }
    action();
}

void GroupSimulation::start(int index)
{
    Member &member = members_[static_cast<std::size_t>(index)];
    const int generation = ++member.generation;
    GroupNodeOptions options;
    options.name = absl::StrCat("control-", index);
    options.address = addressOf(index);
    options.seed = random_();
    options.snapshotEveryEntries = options_.snapshotEveryEntries;
    options.minCompactedBytes = options_.minCompactedBytes;
    options.raft.maxSnapshotPartBytes = options_.maxSnapshotPartBytes;
    options.maxOnceRecords = 1'000;
    for (int other = 0; other < options_.members; ++other) {
        if (other != index) {
            options.peerAddresses.push_back(addressOf(other));
        }
    }
    setInitialMembers(index, options);
    GroupNodeHooks hooks;
    hooks.now = [this] { return now_; };
    hooks.wallNow
        = [this] { return std::chrono::duration_cast<Milliseconds>(now_.time_since_epoch()); };
    hooks.send = [this, index](const std::string &to, const RaftMessage &message) {
        deliver(index, to, message);
    };
    hooks.stateChanged = [] {};
    hooks.storeFailed = [this, index, generation](const absl::Status &) {
        schedule(Milliseconds(0), [this, index, generation] {
            runOnMember(index, generation, [this, index] { crash(index); });
        });
    };
    hooks.runDiskWork = [this, index, generation](std::function<absl::Status()> work,
                                                  std::function<void(absl::Status)> done) {
        const Microseconds delay(100 + static_cast<int>(randomBelow(random_, 3'000)));
        schedule(delay, [this, index, generation, work, done] {
            runOnMember(index, generation, [work, done] { done(work()); });
        });
    };
    member.node = std::make_unique<GroupNode>(options, member.disk.hooks(), hooks);
    if (!member.node->start().ok()) {
        crash(index);
        return;
    }
    scheduleTicks(index, generation);
}

// Like ControlServer with the `seeds` setting: only the first start of a member may bootstrap the
// group, and members are named by their addresses.
void GroupSimulation::setInitialMembers(int index, GroupNodeOptions &options)
{
    Member &member = members_[static_cast<std::size_t>(index)];
    options.raft.maxVoters = static_cast<std::size_t>(options_.maxVoters);
    if (options_.initialMembers > 0) {
        options.name = options.address;
    }
    for (int initialMember = 0; !member.startedBefore && initialMember < options_.initialMembers;
         ++initialMember) {
        options.initialMembers.push_back(addressOf(initialMember));
    }
    member.startedBefore = true;
}

void GroupSimulation::scheduleTicks(int index, int generation)
{
    schedule(tickInterval, [this, index, generation] {
        runOnMember(index, generation, [this, index, generation] {
            node(index)->tick();
            scheduleTicks(index, generation);
        });
    });
}

void GroupSimulation::run(Milliseconds duration)
{
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end && !hasViolation()) {
        const TimedEvent event = events_.top();
        events_.pop();
        now_ = std::max(now_, event.at);
        event.action();
    }
    now_ = end;
}

void GroupSimulation::crash(int index)
{
    Member &member = members_[static_cast<std::size_t>(index)];
    if (!member.node) {
        return;
    }
    ++member.generation;
    member.node.reset();
    member.frozen = false;
    member.deferred.clear();
    member.disk.crash(random_);
}

void GroupSimulation::crashAtDiskOperation(int index, int operations)
{
    members_[static_cast<std::size_t>(index)].disk.failAfter(operations);
}

void GroupSimulation::fillDisk(int index, bool full)
{
    members_[static_cast<std::size_t>(index)].disk.setFull(full);
}

bool GroupSimulation::runs(int index) const
{
    return members_[static_cast<std::size_t>(index)].node != nullptr;
}

bool GroupSimulation::hasFullDisk(int index) const
{
    return runs(index) && members_[static_cast<std::size_t>(index)].node->isDiskFull();
}

void GroupSimulation::restart(int index)
{
    if (!node(index)) {
        start(index);
    }
}

void GroupSimulation::loseDiskIfHealthy(int index)
{
    if (isHealthy()) {
        loseDisk(index);
    }
}

void GroupSimulation::loseDisk(int index)
{
    const std::uint64_t epoch = node(index)->raft().epoch();
    crash(index);
    FaultyDisk &disk = members_[static_cast<std::size_t>(index)].disk;
    if (options_.keepIdentity) {
        disk.eraseAllButIdentity(epoch);
    } else {
        disk.eraseAll();
    }
    start(index);
}

int GroupSimulation::leader() const
{
    for (std::size_t index = 0; index < members_.size(); ++index) {
        if (members_[index].node && members_[index].node->raft().isLeader()) {
            return static_cast<int>(index);
        }
    }
    return -1;
}

void GroupSimulation::isolate(int index, bool isolated)
{
    for (int other = 0; other < options_.members; ++other) {
        cut(index, other, isolated);
        cut(other, index, isolated);
    }
}

void GroupSimulation::freeze(int index, bool frozen)
{
    Member &member = members_[static_cast<std::size_t>(index)];
    member.frozen = frozen && member.node;
    if (!frozen) {
        const auto deferred = std::move(member.deferred);
        member.deferred.clear();
        for (const auto &action : deferred) {
            schedule(Milliseconds(0), action);
        }
    }
}

void GroupSimulation::healAll()
{
    cutLinks_.clear();
    for (int member = 0; member < options_.members; ++member) {
        members_[static_cast<std::size_t>(member)].disk.failAfter(-1);
        fillDisk(member, false);
        freeze(member, false);
        restart(member);
    }
}

bool GroupSimulation::hasAllVoters() const
{
    int voting = 0;
    for (const Member &member : members_) {
        if (!member.node || member.frozen || member.node->raft().epoch() == 0) {
            return false;
        }
        voting += member.node->isVoter() ? 1 : 0;
    }
    return voting == options_.maxVoters;
}

bool GroupSimulation::isHealthy() const
{
    if (options_.maxVoters > 0) {
        return hasAllVoters();
    }
    for (const Member &member : members_) {
        if (!member.node || member.frozen || !member.node->isVoter()
            || member.node->raft().members().size() != members_.size()) {
            return false;
        }
    }
    return true;
}

// Requests and the reference model.

void GroupSimulation::reportViolation(const std::string &what)
{
    if (violation_.empty()) {
        violation_ = absl::StrCat("seed ", options_.seed, ": ", what);
    }
}

void GroupSimulation::propose(int through, ControlCommand command, GroupNode::Done done)
{
    Member &member = members_[static_cast<std::size_t>(through)];
    if (member.node && !member.frozen) {
        member.node->propose(std::move(command), std::move(done));
    }
}

void GroupSimulation::change(const std::string &id, std::uint64_t base, int through)
{
    ControlCommand command;
    command.change.id = id;
    command.change.base = base;
    // The same for a change that is sent again.
    const std::string padding(XXH64(id.data(), id.size(), 0) % (options_.changeBytes - 1), ' ');
    command.change.writes.push_back({ absl::StrCat(id, ".json"), "{" + padding + "}" });
    propose(through, command, [this, id](const absl::StatusOr<ControlResult> &result) {
        if (!result.ok()) {
            return;
        }
        const ChangeResult &change = result->change;
        const auto known = results_.find(id);
        if (known != results_.end() && known->second.status != change.status) {
            reportViolation("a resent change got another verdict: " + id);
        }
        results_[id] = change;
        if (change.status != ChangeStatus::accepted) {
            return;
        }
        const auto other = accepted_.emplace(change.number, id).first;
        if (other->second != id) {
            reportViolation(absl::StrCat("version ", change.number, " was given to ", other->second,
                                         " and to ", id));
        }
        highestAccepted_ = std::max(highestAccepted_, change.number);
    });
}

void GroupSimulation::recordGrant(int key, std::uint64_t attempt)
{
    ++grants_;
    const auto granted = grantedTo_.emplace(key, attempt).first;
    if (granted->second != attempt && !released_[granted->second]) {
        reportViolation(absl::StrCat("key ", key, " was granted to attempts ", granted->second,
                                     " and ", attempt));
    }
    granted->second = attempt;
}

void GroupSimulation::claim(int key, std::uint64_t attempt, int through)
{
    ControlCommand command;
    command.type = CommandType::once;
    command.once = onceRequest(OnceOperation::claim, key, attempt);
    propose(through, command, [this, key, attempt](const absl::StatusOr<ControlResult> &result) {
        if (result.ok() && result->once.status == OnceStatus::granted) {
            recordGrant(key, attempt);
        }
    });
}

void GroupSimulation::release(int key, std::uint64_t attempt, int through)
{
    // The holder of a key never dispatches after it has begun to release the key.
    released_[attempt] = true;
    ControlCommand command;
    command.type = CommandType::once;
    command.once = onceRequest(OnceOperation::release, key, attempt);
    propose(through, command, [](const absl::StatusOr<ControlResult> &) {});
}

void GroupSimulation::complete(int key, std::uint64_t attempt, int through)
{
    ControlCommand command;
    command.type = CommandType::once;
    command.once = onceRequest(OnceOperation::complete, key, attempt);
    propose(through, command, [](const absl::StatusOr<ControlResult> &) {});
}

void GroupSimulation::readVersion(int through)
{
    Member &member = members_[static_cast<std::size_t>(through)];
    if (!member.node || member.frozen) {
        return;
    }
    const std::uint64_t before = highestAccepted_;
    member.node->confirmRead([this, before, through](bool isLeader) {
        if (isLeader && node(through)->state().configuration().number() < before) {
            reportViolation("a confirmed read returned an older version");
        }
    });
}

void GroupSimulation::checkConverged()
{
    if (!isHealthy()) {
        std::string views;
        for (int member = 0; member < options_.members; ++member) {
            const Raft &raft = node(member)->raft();
            absl::StrAppend(&views, " [", member, " ", raftRoleName(raft.role()), " term ",
                            raft.term(), " last ", raft.log().lastIndex(), " commit ",
                            raft.commitIndex(), " self ", raft.self().id % 1'000, " voters");
            for (const GroupMember &known : raft.members()) {
                absl::StrAppend(&views, " ", known.name, ":", known.id % 1'000,
                                known.voter ? "v" : "l");
            }
            views += "]";
        }
        reportViolation("the group has not recovered:" + views);
        return;
    }
    for (int member = 0; member < options_.members; ++member) {
        const ReplicatedConfiguration &history = node(member)->state().configuration();
        if (history.number() < highestAccepted_) {
            reportViolation(absl::StrCat("member ", member, " has lost an accepted change"));
        }
        for (const auto &entry : accepted_) {
            const ChangeResult *result = history.find(entry.second);
            if (result == nullptr || result->number != entry.first) {
                reportViolation(
                    absl::StrCat("member ", member, " has no result of change ", entry.second));
            }
        }
        if (node(member)->state().save() != node(0)->state().save()) {
            reportViolation("members hold different states");
        }
    }
}

} // namespace kumquat::test
