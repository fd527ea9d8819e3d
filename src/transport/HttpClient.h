#pragma once
/// \file
/// Defines the HTTP client with which the system's processes call one another's internal ports.
/// An object belongs to one event loop; it reuses idle connections and signs each request.

#include "transport/Authenticator.h"
#include "transport/HttpServer.h"
#include "transport/ParserLimits.h"

#include <absl/status/statusor.h>
#include <map>

namespace kumquat {

class HttpClient
{
public:
    /// The longest body of a response unless the constructor is told another.
    static constexpr std::size_t maxBodyBytes = 8 * 1024 * 1024;

    /// \p authenticator may be null; then requests are not signed. A response with more than
    /// \p bodyLimit bytes is none.
    HttpClient(asio::io_context &context, std::shared_ptr<Authenticator> authenticator,
               std::size_t bodyLimit = maxBodyBytes);

    /// Posts \p body to \p path. Fails with ErrorKind::unavailable or ErrorKind::timedOut; after
    /// either, the peer may still have executed the request.
    absl::StatusOr<HttpResponse> post(const Address &address, const std::string &path,
                                      std::string body, Milliseconds timeout, Yield yield);

    absl::StatusOr<HttpResponse> send(const Address &address, HttpRequest request,
                                      Milliseconds timeout, Yield yield);

private:
    struct Connection
    {
        explicit Connection(asio::io_context &context) : stream(context) { }
        TcpStream stream;
        beast::flat_buffer buffer { maxParsedBytes };
        TimePoint idleSince {};
    };

    std::unique_ptr<Connection> takeIdleConnection(const Address &address);
    ErrorCode exchange(Connection &connection, const HttpRequest &request, HttpResponse &response,
                       Yield yield);

    asio::io_context &context_;
    std::shared_ptr<Authenticator> authenticator_;
    const std::size_t bodyLimit_;
    std::map<Address, std::vector<std::unique_ptr<Connection>>> idleConnections_;
};

/// The header that carries the Authenticator's tag.
constexpr char authHeader[] = "Kumquat-Auth";

/// The text a request's tag covers: method, path and body.
std::string signedText(const HttpRequest &request);

/// Checks the request's tag; fails with ErrorKind::notAuthentic.
absl::Status verifyRequest(Authenticator &authenticator, const HttpRequest &request);

} // namespace kumquat
