#pragma once
/// \file
/// Defines the message that entries exchange by gossip.
/// Every list may be empty; a receiver merges what is present.

#include "kumquat/TargetRecord.h"

#include <msgpack.hpp>
#include <vector>

namespace kumquat {

/// An entry's heartbeat, also passed on by others; the higher (incarnation, counter) is newer.
struct PeerHeartbeat
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0;
    MSGPACK_DEFINE(name, incarnation, counter)
};

/// Whether the entry responsible for a target found it reachable.
struct TargetHealth
{
    std::string target;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< a higher one is newer; milliseconds of wall time
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
    bool isReply = false; ///< replies to a digest; no digest is sent back
    std::uint64_t sequence = 0; ///< of a message that wants an acknowledgement; 0: none wanted
    std::uint64_t acknowledgedSequence = 0; ///< `sequence` of a received message; 0: none
    bool wantsDigest = false; ///< asks for the receiver's digest even if nothing differs
    std::vector<std::uint64_t> digest; ///< of the sender's target table; may be empty
    std::vector<TargetRecord> records;
    std::vector<std::string> renewedTargets; ///< targets that renewed their leases at the sender
    std::vector<PeerHeartbeat> heartbeats;
    std::vector<TargetHealth> health;
    std::vector<RequestSuspicion> suspicions;
    MSGPACK_DEFINE(sender, senderAddress, isReply, sequence, acknowledgedSequence, wantsDigest,
                   digest, records, renewedTargets, heartbeats, health, suspicions)
};

} // namespace kumquat
