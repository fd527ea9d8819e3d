#pragma once
/// \file
/// Defines one stand-in target: an HTTP server with slots, a queue and switchable faults.
/// Its answers repeat what was asked, so that a caller can tell whether an answer is its own.

#include "Behaviour.h"
#include "kumquat/TargetRecord.h"
#include "transport/HttpServer.h"

#include <deque>
#include <map>
#include <set>

namespace kumquat::standin {

/// Counts how often each once-key ran, over all targets of the process.
struct ExecutionRecord
{
    std::map<std::string, int> runs;
    std::map<std::string, std::uint64_t> uploads; ///< bytes of each whole upload, by its key
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

    /// Speaks as targets of the platform do.
    void usePlatformProtocol() { usesPlatformProtocol_ = true; }

    /// Marks the connections that are open now as silent for good; new ones work.
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
    TimePoint shiftUntil_;
    TimePoint nextShift_;
    bool crashed_ = false;
    bool usesPlatformProtocol_ = false;
};

} // namespace kumquat::standin
