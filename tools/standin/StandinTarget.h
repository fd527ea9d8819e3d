#pragma once
/// \file
/// Defines a stand-in target: an HTTP server with slots, a queue and faults that can be injected.
/// Its responses echo the request's path, so that a caller can detect a response to another
/// request.

#include "Behaviour.h"
#include "kumquat/TargetRecord.h"
#include "transport/HttpServer.h"

#include <deque>
#include <map>
#include <set>

namespace kumquat::standin {

/// What was executed by all targets of this process, to check that no request is executed twice.
struct ExecutionRecord
{
    std::map<std::string, int> runs; ///< executions of each request that has a key, by that key
    std::map<std::string, std::uint64_t> uploads; ///< bytes of each complete upload, by its key
};

class StandinTarget
{
public:
    StandinTarget(asio::io_context &context, TargetRecord record, Behaviour behaviour,
                  ExecutionRecord &executions, std::uint64_t seed);

    absl::Status listen();

    const TargetRecord &record() const { return record_; }
    TargetRecord &record() { return record_; }
    Behaviour &behaviour() { return behaviour_; }
    int inFlight() const { return running_ + static_cast<int>(waiting_.size()); }
    int peakInFlight() const { return peak_; }
    std::uint64_t served() const { return served_; }
    std::uint64_t sheds() const { return sheds_; }
    std::uint64_t probes() const { return probes_; }
    std::uint64_t crashes() const { return crashes_; }
    /// When the latest requests arrived, health probes excepted.
    const std::deque<Milliseconds> &arrivals() const { return arrivals_; }
    /// When the latest health probes arrived.
    const std::deque<Milliseconds> &probeArrivals() const { return probeArrivals_; }

    /// Switches to the headers that the platform's targets use.
    void usePlatformProtocol() { usesPlatformProtocol_ = true; }

    /// Stops responding on the connections that are open now, except to health probes; connections
    /// opened later work.
    void silenceOpenConnections();

private:
    struct Connection
    {
        explicit Connection(TcpSocket socket) : stream(std::move(socket)) { }
        TcpStream stream;
        beast::flat_buffer buffer;
        bool silent = false;
    };
    using Parser = http::request_parser<http::buffer_body>;

    void accept(Yield yield);
    void serve(const std::shared_ptr<Connection> &connection, Yield yield);
    bool serveRequest(Connection &connection, Yield yield);
    bool readBody(Connection &connection, Parser &parser, std::uint64_t &bytes, Yield yield);
    HttpResponse makeRefusal();
    bool acquireSlot(Yield yield);
    void releaseSlot();
    Microseconds serviceTime(const std::string &target);
    HttpResponse makeResponse(const http::request_header<> &header, std::uint64_t bodyBytes);
    bool write(Connection &connection, const http::request_header<> &header, HttpResponse response,
               Yield yield);
    void addLoadReport(const http::request_header<> &header, HttpResponse &response);
    void crash();

    asio::io_context &context_;
    TargetRecord record_;
    Behaviour behaviour_;
    ExecutionRecord &executions_;
    Random random_;
    TcpAcceptor acceptor_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::deque<Timer *> waiting_;
    int running_ = 0;
    int peak_ = 0;
    std::uint64_t served_ = 0;
    std::uint64_t sheds_ = 0;
    std::uint64_t probes_ = 0;
    std::uint64_t crashes_ = 0;
    std::deque<Milliseconds> arrivals_; ///< in wall time
    std::deque<Milliseconds> probeArrivals_; ///< in wall time
    TimePoint shiftUntil_;
    TimePoint nextShift_;
    bool crashed_ = false;
    bool usesPlatformProtocol_ = false;
};

} // namespace kumquat::standin
