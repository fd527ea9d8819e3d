#pragma once
/// \file
/// Defines the one message that entries exchange in datagrams.
/// Every part may be empty; a receiver merges what is there.

#include "kumquat/TargetRecord.h"

#include <msgpack.hpp>
#include <vector>

namespace kumquat {

/// A sign of life of an entry, passed on by others; the higher (incarnation, beat) is newer.
struct PeerHeartbeat
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0;
    MSGPACK_DEFINE(name, incarnation, counter)
};

/// What the entry responsible for a target found when it asked it.
struct TargetHealth
{
    std::string target;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< the higher is newer; seconds of wall time
    bool reachable = true;
    MSGPACK_DEFINE(target, incarnation, sequence, reachable)
};

/// A target's connection ended while it ran the request with this fingerprint.
struct RequestSuspicion
{
    std::uint64_t fingerprint = 0;
    std::string target;
    MSGPACK_DEFINE(fingerprint, target)
};

struct GossipMessage
{
    PeerHeartbeat sender;
    std::string senderAddress; ///< the sender's gossip address
    bool isReply = false; ///< answers a digest, so that no digest is sent back
    std::uint64_t sequence = 0; ///< asks for an acknowledgement when not zero
    std::uint64_t acknowledgedSequence = 0; ///< the sequence of a message of the receiver's
    bool wantsDigest = false; ///< answer with your digest
    std::vector<std::uint64_t> digest;
    std::vector<TargetRecord> records;
    std::vector<std::string> renewedTargets; ///< targets whose renewal the sender heard
    std::vector<PeerHeartbeat> heartbeats;
    std::vector<TargetHealth> health;
    std::vector<RequestSuspicion> suspicions;
    MSGPACK_DEFINE(sender, senderAddress, isReply, sequence, acknowledgedSequence, wantsDigest, digest, records,
                   renewedTargets, heartbeats, health, suspicions)
};

} // namespace kumquat
