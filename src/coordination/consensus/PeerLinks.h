#pragma once
/// \file
/// Sends Raft messages to the other members of the control group over HTTP, in order per member.
/// A slow or broken link drops messages; Raft sends again what is still needed.

#include "protocol/RaftMessage.h"
#include "transport/HttpClient.h"

#include <deque>

namespace kumquat {

struct RaftBatch
{
    std::vector<RaftMessage> messages;
    MSGPACK_DEFINE(messages)
};

class PeerLinks
{
public:
    PeerLinks(asio::io_context &context, std::shared_ptr<Authenticator> authenticator);

    void send(const std::string &address, const RaftMessage &message);

    std::uint64_t sentBytes() const { return sentBytes_; }
    std::uint64_t sentBatches() const { return sentBatches_; }

private:
    struct Link
    {
        std::deque<RaftMessage> queue;
        std::size_t queuedBytes = 0; ///< payloads only
        bool sending = false;
    };

    static RaftMessage takeFirst(Link &link);
    static RaftBatch takeBatch(Link &link);
    void sendQueued(const std::string &address, Yield yield);

    asio::io_context &context_;
    HttpClient client_;
    std::map<std::string, Link> links_;
    std::uint64_t sentBytes_ = 0;
    std::uint64_t sentBatches_ = 0;
};

} // namespace kumquat
