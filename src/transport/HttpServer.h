#pragma once
/// \file
/// Defines the small HTTP server of every process's internal port.
/// It reads and writes complete messages of limited size; callers' requests go through
/// protocol/CallerConnection instead.

#include "common/ByteBudget.h"
#include "transport/Address.h"
#include "transport/Asio.h"

#include <absl/status/status.h>
#include <optional>
#include <set>

namespace kumquat {

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Returns the response to one request; may suspend the coroutine through the yield context.
using HttpHandler = std::function<HttpResponse(const HttpRequest &, Yield)>;

/// The longest body that a request may have, and which budget it is counted against.
struct BodyLimit
{
    std::size_t bytes = 1024 * 1024;
    bool isInternal = false; ///< from another process of the system, not from a stranger
};

/// Limits on what the peers of a server can make it hold. Requests of other processes have a budget
/// of their own, so that strangers cannot use it up.
struct HttpServerLimits
{
    std::function<BodyLimit(const http::request_header<> &)> body
        = [](const http::request_header<> &) { return BodyLimit(); };
    std::size_t totalBodyBytes = 64 * 1024 * 1024; ///< of requests and responses, in each budget
    std::size_t connections = 2'000;
    /// True for a request that holds its response back until something changes.
    std::function<bool(const http::request_header<> &)> isPoll
        = [](const http::request_header<> &) { return false; };
};

/// What a server has refused or cut, for metrics.
struct HttpServerCounters
{
    std::uint64_t malformedRequests = 0;
    std::uint64_t oversizedRequests = 0;
    std::uint64_t handlerFailures = 0; ///< the handler threw an exception
};

HttpResponse textResponse(http::status status, std::string body,
                          const char *contentType = "application/json");
/// A JSON object whose member `error` holds the message of \p error.
HttpResponse errorResponse(http::status status, const absl::Status &error);

/// Opens a listening socket; fails with ErrorKind::badSettings when that is not possible.
/// With \p reusePort several sockets may listen on the same address (SO_REUSEPORT).
absl::Status openAcceptor(TcpAcceptor &acceptor, const Address &address, bool reusePort);

class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    HttpServer(asio::io_context &context, HttpHandler handler, HttpServerLimits limits = {});

    absl::Status listen(const Address &address);

    /// Stops accepting and closes connections on which no request has arrived.
    void stop();

    /// The requests whose header was read and whose response was not sent yet, polls excepted.
    std::size_t unanswered() const { return unanswered_; }

    const HttpServerCounters &counters() const { return counters_; }
    /// The port that the server listens on.
    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    using Parser = http::request_parser<http::string_body>;

    bool acceptConnection(Yield yield);
    void addConnection(const std::shared_ptr<TcpStream> &stream);
    void serveConnection(const std::shared_ptr<TcpStream> &stream, Yield yield);
    bool serveRequest(const std::shared_ptr<TcpStream> &stream, beast::flat_buffer &buffer,
                      Yield yield);
    bool answerRequest(TcpStream &stream, beast::flat_buffer &buffer, Parser &parser, Yield yield);
    ErrorCode awaitInput(const std::shared_ptr<TcpStream> &stream, Yield yield);
    ErrorCode readHeader(const std::shared_ptr<TcpStream> &stream, beast::flat_buffer &buffer,
                         Parser &parser, Yield yield);
    std::optional<http::status> readBody(TcpStream &stream, beast::flat_buffer &buffer,
                                         Parser &parser, std::size_t limit, HeldBytes &held,
                                         Yield yield);
    std::optional<HttpResponse> respond(TcpStream &stream, beast::flat_buffer &buffer,
                                        Parser &parser, std::size_t limit, ByteBudget &budget,
                                        Yield yield);
    HttpResponse handle(const HttpRequest &request, Yield yield);
    void refuse(TcpStream &stream, http::status status, Yield yield);
    bool write(TcpStream &stream, HttpResponse response, Yield yield);

    asio::io_context &context_;
    HttpHandler handler_;
    const HttpServerLimits limits_;
    ByteBudget publicBytes_;
    ByteBudget internalBytes_;
    HttpServerCounters counters_;
    std::size_t connections_ = 0;
    std::size_t unanswered_ = 0;
    TcpAcceptor acceptor_;
    std::set<std::shared_ptr<TcpStream>> idleStreams_;
    bool stopping_ = false;
};

} // namespace kumquat
