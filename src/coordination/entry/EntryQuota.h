#pragma once
/// \file
/// Lets the worker threads of an entry ask for the decisions of its QuotaExchange.
/// The exchange belongs to the coordination thread; a request waits on its own worker's loop.

#include "coordination/entry/QuotaExchange.h"
#include "transport/Spawn.h"

#include <atomic>

namespace kumquat {

class EntryQuota
{
public:
    /// \p loop is the coordination thread's.
    EntryQuota(asio::io_context &loop, std::string self, QuotaHooks hooks, std::uint64_t seed);

    /// To be called on the thread of \p workerLoop; waits for the decision on one request, at most
    /// for \p limit.
    QuotaDecision admit(const Organisation &organisation, Milliseconds limit,
                        asio::io_context &workerLoop, Yield yield);
    /// Returns the token of a request that reached no target; may be called on any thread.
    void giveBack(const std::string &organisation);

    /// To be used on the coordination thread only.
    QuotaExchange &exchange() { return exchange_; }
    const QuotaExchange &exchange() const { return exchange_; }

    /// Requests for which there was no decision in time; may be called on any thread.
    std::uint64_t undecided() const { return undecided_; }

private:
    struct Wait
    {
        Wait(asio::io_context &loop, TimePoint until) : timer(loop, until) { }
        Timer timer;
        bool isDecided = false;
        QuotaDecision decision;
    };

    void decide(const std::weak_ptr<Wait> &weak, const std::string &organisation,
                const QuotaDecision &decision);

    asio::io_context &loop_;
    QuotaExchange exchange_;
    std::atomic<std::uint64_t> undecided_ { 0 };
};

} // namespace kumquat
