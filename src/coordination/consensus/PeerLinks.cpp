#include "coordination/consensus/PeerLinks.h"

#include "protocol/Codec.h"
#include "protocol/Wire.h"
#include "transport/Spawn.h"

namespace kumquat {

namespace {

constexpr std::size_t maxQueuedMessages = 256;
constexpr std::size_t maxQueuedBytes = 4 * 1024 * 1024;
constexpr std::size_t maxBatchMessages = 64;
constexpr std::size_t maxBatchBytes = 512 * 1024;
constexpr Milliseconds sendTimeout { 500 };

} // namespace

PeerLinks::PeerLinks(asio::io_context &context, std::shared_ptr<Authenticator> authenticator)
    : context_(context), client_(context, std::move(authenticator))
{
}

void PeerLinks::send(const std::string &address, const RaftMessage &message)
{
    Link &link = links_[address];
    const std::size_t bytes = payloadBytes(message);
    while (
        !link.queue.empty()
        && (link.queue.size() >= maxQueuedMessages || link.queuedBytes + bytes > maxQueuedBytes)) {
        takeFirst(link);
    }
    link.queue.push_back(message);
    link.queuedBytes += bytes;
    if (!link.sending) {
        link.sending = true;
        spawnOn(
            context_, [this, address](Yield yield) { sendQueued(address, yield); },
            [this, address] { links_[address].sending = false; });
    }
}

RaftMessage PeerLinks::takeFirst(Link &link)
{
    RaftMessage message = std::move(link.queue.front());
    link.queue.pop_front();
    link.queuedBytes -= payloadBytes(message);
    return message;
}

RaftBatch PeerLinks::takeBatch(Link &link)
{
    RaftBatch batch;
    std::size_t bytes = 0;
    while (!link.queue.empty() && batch.messages.size() < maxBatchMessages
           && bytes < maxBatchBytes) {
        batch.messages.push_back(takeFirst(link));
        bytes += payloadBytes(batch.messages.back());
    }
    return batch;
}

void PeerLinks::sendQueued(const std::string &address, Yield yield)
{
    const auto to = parseAddress(address);
    Link &link = links_[address];
    while (to.ok() && !link.queue.empty()) {
        std::string bytes = pack(takeBatch(link));
        const Milliseconds timeout
            = sendTimeout + Milliseconds(bytes.size() / minLinkBytesPerMillisecond);
        sentBytes_ += bytes.size();
        ++sentBatches_;
        const auto response = client_.post(*to, wire::raftPath, std::move(bytes), timeout, yield);
        if (!response.ok()) {
            link.queue.clear();
            link.queuedBytes = 0;
        }
    }
}

} // namespace kumquat
