#include "coordination/consensus/PeerLinks.h"

#include "protocol/Codec.h"
#include "protocol/Wire.h"
#include "transport/Spawn.h"

namespace kumquat {

namespace {

constexpr std::size_t maxQueuedMessages = 256;
constexpr std::size_t maxBatchMessages = 64;
constexpr Milliseconds sendTimeout { 500 };

} // namespace

PeerLinks::PeerLinks(asio::io_context &context, std::shared_ptr<Authenticator> authenticator)
    : context_(context), client_(context, std::move(authenticator))
{
}

void PeerLinks::send(const std::string &address, const RaftMessage &message)
{
    Link &link = links_[address];
    if (link.queue.size() >= maxQueuedMessages) {
        link.queue.pop_front();
    }
    link.queue.push_back(message);
    if (!link.sending) {
        link.sending = true;
        spawnOn(context_, [this, address](Yield yield) { sendQueued(address, yield); });
    }
}

void PeerLinks::sendQueued(const std::string &address, Yield yield)
{
    const auto to = parseAddress(address);
    Link &link = links_[address];
    while (to.ok() && !link.queue.empty()) {
        RaftBatch batch;
        while (!link.queue.empty() && batch.messages.size() < maxBatchMessages) {
            batch.messages.push_back(std::move(link.queue.front()));
            link.queue.pop_front();
        }
        std::string bytes = pack(batch);
        sentBytes_ += bytes.size();
        ++sentBatches_;
        const auto response
            = client_.post(*to, wire::raftPath, std::move(bytes), sendTimeout, yield);
        if (!response.ok()) {
            link.queue.clear();
        }
    }
    link.sending = false;
}

} // namespace kumquat
