#include "protocol/TargetConnectionPool.h"

namespace kumquat {

std::unique_ptr<TargetConnection> TargetConnectionPool::takeIdle(const Address &address,
                                                                 TimePoint newerThan)
{
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto &connections = found->second;
    while (!connections.empty()) {
        std::unique_ptr<TargetConnection> connection = std::move(connections.back());
        connections.pop_back();
        const bool isRecent = connection->lastResponseAt() > newerThan
            && !connection->isNearIdleTimeout(Clock::now());
        if (isRecent && !connection->isStale()) {
            return connection;
        }
    }
    idle_.erase(found);
    return nullptr;
}

std::unique_ptr<TargetConnection> TargetConnectionPool::makeConnection(const Address &address)
{
    return std::make_unique<TargetConnection>(context_, address);
}

void TargetConnectionPool::giveBack(std::unique_ptr<TargetConnection> connection)
{
    auto &connections = idle_[connection->address()];
    if (connections.size() < maxIdle) {
        connections.push_back(std::move(connection));
    }
}

void TargetConnectionPool::closeIdle(const Address &address)
{
    idle_.erase(address);
}

std::size_t TargetConnectionPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &entry : idle_) {
        count += entry.second.size();
    }
    return count;
}

} // namespace kumquat
