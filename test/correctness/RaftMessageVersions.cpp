// Members of the version before, which send and expect no parts of snapshots.
#include "TestSupport.h"
#include "protocol/Codec.h"
#include "protocol/RaftMessage.h"

using namespace kumquat;

namespace {

struct EarlierMessage
{
    RaftMessageType type = RaftMessageType::append;
    std::uint64_t epoch = 0;
    std::uint64_t term = 0;
    MemberId from = 0;
    std::string fromAddress;
    MemberId to = 0;
    std::uint64_t index = 0;
    std::uint64_t logTerm = 0;
    std::uint64_t commit = 0;
    std::uint64_t round = 0;
    bool granted = false;
    std::vector<LogEntry> entries;
    LogSnapshot snapshot;
    GroupMember joiningMember;
    MSGPACK_DEFINE(type, epoch, term, from, fromAddress, to, index, logTerm, commit, round, granted,
                   entries, snapshot, joiningMember)
};

} // namespace

TEST_GROUP(RaftMessageVersions) {};

TEST(RaftMessageVersions, earlierMessageIsRead)
{
    EarlierMessage sent;
    sent.type = RaftMessageType::snapshot;
    sent.snapshot.data = "state";
    sent.joiningMember.name = "member";
    const auto read = unpack<RaftMessage>(pack(sent));
    CHECK(read.ok());
    CHECK(read->type == RaftMessageType::snapshot);
    STRCMP_EQUAL("state", read->snapshot.data.c_str());
    STRCMP_EQUAL("member", read->joiningMember.name.c_str());
    CHECK_EQUAL(0U, read->offset);
}

TEST(RaftMessageVersions, laterMessageIsReadByEarlierMembers)
{
    RaftMessage sent;
    sent.type = RaftMessageType::snapshotPart;
    sent.term = 7;
    sent.totalBytes = 1'000;
    const auto read = unpack<EarlierMessage>(pack(sent));
    CHECK(read.ok());
    CHECK_EQUAL(7U, read->term);
}
