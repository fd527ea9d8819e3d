#pragma once
/// \file
/// Defines how entries and members of the control group follow what a member knows: targets,
/// configuration, requests that end targets, and the processes themselves.

#include "kumquat/TargetRecord.h"

namespace kumquat {

/// What a member knows of one target.
struct FeedItem
{
    TargetRecord record;
    bool leaseExpired = false; ///< no heartbeat reached any member for the lease
    MSGPACK_DEFINE(record, leaseExpired)
};

/// A heartbeat that changed nothing but its number.
struct FeedRenewal
{
    std::string target;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    MSGPACK_DEFINE(target, incarnation, version)
};

/// A request, by a hash of its content, under which a target ended.
struct FeedSuspicion
{
    std::uint64_t fingerprint = 0;
    std::string target;
    std::uint64_t incarnation = 0; ///< of the target
    MSGPACK_DEFINE(fingerprint, target, incarnation)
};

/// A process of the control group, as entries and joining members look for it.
struct FeedMember
{
    std::string name;
    std::string address;
    bool voter = false;
    MSGPACK_DEFINE(name, address, voter)
};

/// Asks for what is newer than the cursor; having it acknowledges all up to the cursor.
struct FeedPoll
{
    std::string subscriber;
    std::uint64_t subscriberSessionId = 0; ///< drawn at the subscriber's start
    bool isMember = false; ///< of the control group; it also gets renewals
    std::uint64_t feedSessionId = 0; ///< of the answer that the cursor is from
    std::uint64_t cursor = 0;
    std::uint64_t epoch = 0; ///< of the newest configuration heard of
    std::uint64_t number = 0; ///< of the newest configuration heard of; 0 is none
    std::int64_t waitMs = 0;
    std::vector<FeedSuspicion> suspicions;
    std::string reportAddress; ///< where an entry takes other entries' reports; may be empty
    std::uint64_t knownEntriesHash = 0; ///< `entriesHash` of the answer before
    MSGPACK_DEFINE(subscriber, subscriberSessionId, isMember, feedSessionId, cursor, epoch, number, waitMs,
                   suspicions, reportAddress, knownEntriesHash)
};

struct FeedResponse
{
    std::uint64_t feedSessionId = 0; ///< drawn at the member's start
    std::uint64_t cursor = 0;
    std::vector<FeedItem> items;
    std::vector<FeedRenewal> renewals;
    std::vector<FeedSuspicion> suspicions;
    std::vector<FeedMember> members;
    std::uint32_t entryCount = 0; ///< entries that follow this member now
    std::uint64_t entriesHash = 0;
    std::vector<std::string> reportAddresses; ///< of those entries; only when the hash has changed
    std::uint64_t epoch = 0;
    std::uint64_t number = 0; ///< of a configuration newer than the poll's; 0 is none
    MSGPACK_DEFINE(feedSessionId, cursor, items, renewals, suspicions, members, entryCount, entriesHash,
                   reportAddresses, epoch, number)
};

/// Asks a member for the files of its configuration, at least as new as the one named.
struct FilesRequest
{
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    MSGPACK_DEFINE(epoch, number)
};

} // namespace kumquat
