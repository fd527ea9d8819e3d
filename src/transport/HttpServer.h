#pragma once
/// \file
/// Defines the small HTTP server of every process's internal port.
/// It reads and writes complete messages of limited size; callers' requests go through
/// protocol/CallerConnection instead.

#include "transport/Address.h"
#include "transport/Asio.h"

#include <absl/status/status.h>
#include <set>

namespace kumquat {

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Returns the response to one request; may suspend the coroutine through the yield context.
using HttpHandler = std::function<HttpResponse(const HttpRequest &, Yield)>;

HttpResponse textResponse(http::status status, std::string body,
                          const char *contentType = "application/json");

/// Opens a listening socket; fails with ErrorKind::badSettings when that is not possible.
/// With \p reusePort several sockets may listen on the same address (SO_REUSEPORT).
absl::Status openAcceptor(TcpAcceptor &acceptor, const Address &address, bool reusePort);

class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    HttpServer(asio::io_context &context, HttpHandler handler);

    absl::Status listen(const Address &address);

    /// Stops accepting and closes connections that wait for a request.
    void stop();

private:
    void acceptConnections(Yield yield);
    void serveConnection(const std::shared_ptr<TcpStream> &stream, Yield yield);

    asio::io_context &context_;
    HttpHandler handler_;
    TcpAcceptor acceptor_;
    std::set<std::shared_ptr<TcpStream>> idleStreams_;
    bool stopping_ = false;
};

} // namespace kumquat
