#include "protocol/TargetConnectionPool.h"

namespace kumquat {

std::unique_ptr<TargetConnection> TargetPool::takeIdle(const Address &address, TimePoint newerThan)
{
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto &stack = found->second;
    while (!stack.empty()) {
        std::unique_ptr<TargetConnection> connection = std::move(stack.back());
        stack.pop_back();
        if (connection->lastResponseAt() > newerThan && !connection->isStale()) {
            return connection;
        }
    }
    idle_.erase(found);
    return nullptr;
}

std::unique_ptr<TargetConnection> TargetPool::makeConnection(const Address &address)
{
    return std::make_unique<TargetConnection>(context_, address);
}

void TargetPool::giveBack(std::unique_ptr<TargetConnection> connection)
{
    auto &stack = idle_[connection->address()];
    if (stack.size() < maxIdle) {
        stack.push_back(std::move(connection));
    }
}

void TargetPool::drop(const Address &address)
{
    idle_.erase(address);
}

std::size_t TargetPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &entry : idle_) {
        count += entry.second.size();
    }
    return count;
}

} // namespace kumquat
