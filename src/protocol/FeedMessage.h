#pragma once
/// \file
/// Defines the messages by which entries and control members poll a member's feed: targets, the
/// configuration's version, evacuations, requests suspected of crashing targets, members, entries.

#include "kumquat/TargetRecord.h"

namespace kumquat {

/// What a member knows of one target.
struct FeedItem
{
    TargetRecord record;
    bool leaseExpired = false; ///< this member learned of no heartbeat within the lease
    std::int64_t ageMs = 0; ///< time since the last heartbeat that this member learned of
    MSGPACK_DEFINE(record, leaseExpired, ageMs)
};

/// A heartbeat that changed only the record's version and the time for which the target is cold.
struct FeedRenewal
{
    std::string target;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    std::int64_t ageMs = 0; ///< time since that heartbeat
    std::int32_t slowStartMs = -1; ///< as that heartbeat said; -1 from members that do not pass it
    MSGPACK_DEFINE(target, incarnation, version, ageMs, slowStartMs)
};

/// A target's connection ended while it ran the request with this fingerprint.
struct FeedSuspicion
{
    std::uint64_t fingerprint = 0; ///< a hash of the request's content
    std::string target;
    std::uint64_t incarnation = 0; ///< of the target
    MSGPACK_DEFINE(fingerprint, target, incarnation)
};

/// A member of the control group and where to reach it.
struct FeedMember
{
    std::string name;
    std::string address;
    bool voter = false;
    MSGPACK_DEFINE(name, address, voter)
};

/// Asks for what changed after the cursor. An entry acknowledges everything up to it; a member
/// acknowledges only what is on its disk.
struct FeedPoll
{
    std::string subscriber;
    std::uint64_t subscriberSessionId = 0; ///< random, drawn when the subscriber starts
    bool isMember = false; ///< of the control group; members also get renewals
    std::uint64_t feedSessionId = 0; ///< of the response that the cursor is from
    std::uint64_t cursor = 0;
    std::uint64_t epoch = 0; ///< of the newest configuration known
    std::uint64_t number = 0; ///< of the newest configuration known; 0: none
    std::int64_t waitMs = 0; ///< how long the member may wait for a change
    std::vector<FeedSuspicion> suspicions;
    std::string reportAddress; ///< for other entries' load reports; may be empty
    std::uint64_t knownEntriesHash = 0; ///< `entriesHash` of the previous response
    std::uint64_t storedCursor = 0; ///< of a member: the departures up to it are on its disk
    bool tracksEvacuations = false; ///< false: an entry of an earlier version
    std::uint64_t evacuationEpoch = 0; ///< of the evacuations in force; 0: none known
    std::uint64_t evacuationNumber = 0;
    MSGPACK_DEFINE(subscriber, subscriberSessionId, isMember, feedSessionId, cursor, epoch, number,
                   waitMs, suspicions, reportAddress, knownEntriesHash, storedCursor,
                   tracksEvacuations, evacuationEpoch, evacuationNumber)
};

struct FeedResponse
{
    std::uint64_t feedSessionId = 0; ///< random, drawn when the member starts
    std::uint64_t cursor = 0;
    std::vector<FeedItem> items;
    std::vector<FeedRenewal> renewals;
    std::vector<FeedSuspicion> suspicions;
    std::vector<FeedMember> members;
    std::uint32_t entryCount = 0; ///< entries that poll this member now
    std::uint64_t entriesHash = 0; ///< of their report addresses
    std::vector<std::string> reportAddresses; ///< of those entries; empty if the hash is unchanged
    std::uint64_t epoch = 0;
    std::uint64_t number = 0; ///< of a configuration newer than the poll's; 0: none
    bool tracksEvacuations = false; ///< false: a member of an earlier version
    std::uint64_t evacuationEpoch = 0; ///< of evacuations newer than the poll's; 0: none
    std::uint64_t evacuationNumber = 0;
    std::vector<std::string> evacuatedDomains; ///< all of them
    MSGPACK_DEFINE(feedSessionId, cursor, items, renewals, suspicions, members, entryCount,
                   entriesHash, reportAddresses, epoch, number, tracksEvacuations, evacuationEpoch,
                   evacuationNumber, evacuatedDomains)
};

/// Asks a member for the files of its configuration, at least as new as the one named.
struct FilesRequest
{
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    MSGPACK_DEFINE(epoch, number)
};

} // namespace kumquat
