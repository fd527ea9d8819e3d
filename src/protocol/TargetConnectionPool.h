#pragma once
/// \file
/// Keeps idle connections to targets for one event loop.
/// A connection is handed out again only if its last response is recent and it is still open.

#include "protocol/TargetConnection.h"

#include <map>

namespace kumquat {

class TargetConnectionPool
{
public:
    /// Most idle connections kept to one target.
    static constexpr std::size_t maxIdle = 32;

    explicit TargetConnectionPool(asio::io_context &context) : context_(context) { }

    /// An idle connection whose last response is newer than \p newerThan, else null.
    std::unique_ptr<TargetConnection> takeIdle(const Address &address, TimePoint newerThan);

    std::unique_ptr<TargetConnection> makeConnection(const Address &address);

    void giveBack(std::unique_ptr<TargetConnection> connection);

    /// Closes the idle connections to one target.
    void closeIdle(const Address &address);

    std::size_t idleCount() const;

private:
    asio::io_context &context_;
    std::map<Address, std::vector<std::unique_ptr<TargetConnection>>> idle_;
};

} // namespace kumquat
