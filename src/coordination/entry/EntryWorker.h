#pragma once
/// \file
/// Defines one worker thread of an entry, which accepts callers and admits their requests.
/// Each worker has its own event loop, connections and listening socket.

#include "coordination/control/ControlClient.h"
#include "coordination/entry/Call.h"
#include "coordination/entry/EntryCore.h"
#include "coordination/entry/HostRouteCall.h"
#include "protocol/CallerConnection.h"

#include <atomic>
#include <set>
#include <thread>

namespace kumquat {

class EntryWorker
{
public:
    /// \p maxBodyBytes bounds the bodies that are held in each direction.
    EntryWorker(EntryCore &core, int maxConnections, std::size_t maxBodyBytes, std::uint64_t seed);

    absl::Status listen(const Address &address);
    void start();

    /// Closes the listener, after what has arrived there; connections go on.
    void closeListener();
    /// Closes the connections that wait for a request; requests in flight go on.
    void closeIdle();
    /// Gives requests that still run a response, since the process is about to end.
    void answerUnfinished();
    /// True when the first two are done, so that no further connection is counted.
    bool hasDrained() const { return hasDrained_; }
    /// Stops the event loop and joins the thread; to be called after the last request has ended.
    void stop();

    /// Requests that the stop left without a response; to be called after stop().
    std::size_t unansweredRequests() const;

    Worker &worker() { return worker_; }
    asio::io_context &loop() { return loop_; }

private:
    bool accept(Yield yield);
    void acceptArrived();
    void startServing(TcpSocket socket);
    void addCaller(const std::shared_ptr<CallerConnection> &caller);
    void serve(CallerConnection &caller, Yield yield);
    void handle(CallerConnection &caller, Yield yield);
    void admit(CallerConnection &caller, const RouteMatch &match, TimePoint deadline, Yield yield);
    bool serveReadAhead(CallerConnection &caller, TimePoint start);
    void servePipelined(HostRouteRequest &request, Yield yield);
    void serveHostRoute(CallerConnection &caller, TimePoint start, Yield yield);
    CurrentService currentService(std::shared_ptr<const ActiveService> version) const;
    HostRouteRequest hostRouteRequest(const http::request_header<> &header,
                                      const RoutingTable &routing, const ActiveRoutePtr &route,
                                      const OrganisationPtr &organisation, TimePoint start);
    void refuseBeforeRouting(CallerConnection &caller, RefusalReason reason, Yield yield);
    bool readHostRouteBody(CallerConnection &caller, HostRouteRequest &request, Yield yield);
    static void setBody(HostRouteRequest &request, HttpRequest message,
                        std::shared_ptr<HeldRoom> held);
    void waitForRoom(std::size_t bytes, HeldRoom &held, TimePoint until, Yield yield);
    void reportFailure(const char *what);
    void reportDropped(DropCause cause, std::size_t count);
    class UnusedTokenReturn;

    bool refuseIfOverQuota(HostRouteRequest &request, Yield yield);
    void returnUnusedToken(const HostRouteRequest &request);
    bool refuseIfQuarantined(HostRouteRequest &request, Yield yield);
    /// \p inputs are further fields of the log event, each after a space.
    void refuseHostRoute(HostRouteRequest &request, RefusalReason reason, Yield yield,
                         const std::string &inputs = {});
    bool readRequest(Call &call, RequestKind kind, HeldRoom &held, Yield yield);

    EntryCore &core_;
    const int maxConnections_;
    asio::io_context loop_ { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    Worker worker_;
    TcpAcceptor acceptor_;
    std::set<std::shared_ptr<CallerConnection>> callers_;
    std::atomic<bool> hasDrained_ { false };
    std::thread thread_;
};

} // namespace kumquat
