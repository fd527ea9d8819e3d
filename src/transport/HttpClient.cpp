#include "transport/HttpClient.h"

#include "kumquat/Error.h"

#include <sys/socket.h>

namespace kumquat {

namespace {

// The peer may have dropped an idle connection unnoticed, so only recently used ones are reused.
constexpr Milliseconds maxIdleTime { 1'000 };
/// An instance that is down never replies, so connecting fails early; a later call tries again.
constexpr Milliseconds connectTimeout { 300 };

// Bytes on an idle connection belong to no later call, and an end of input means that the peer has
// closed it.
bool isQuiet(TcpStream &stream)
{
    char byte = 0;
    const auto seen = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::string signedText(const HttpRequest &request)
{
    std::string text(request.method_string());
    text += ' ';
    text += std::string(request.target());
    text += '\n';
    return text + request.body();
}

absl::Status verifyRequest(Authenticator &authenticator, const HttpRequest &request)
{
    return authenticator.verify(std::string(request[authHeader]), signedText(request));
}

HttpClient::HttpClient(asio::io_context &context, std::shared_ptr<Authenticator> authenticator,
                       std::size_t bodyLimit)
    : context_(context), authenticator_(std::move(authenticator)), bodyLimit_(bodyLimit)
{
}

std::unique_ptr<HttpClient::Connection> HttpClient::takeIdleConnection(const Address &address)
{
    auto &stack = idleConnections_[address];
    std::unique_ptr<Connection> connection;
    while (!stack.empty() && !connection) {
        connection = std::move(stack.back());
        stack.pop_back();
        if (Clock::now() - connection->idleSince > maxIdleTime || !isQuiet(connection->stream)) {
            connection.reset();
        }
    }
    return connection;
}

ErrorCode HttpClient::exchange(Connection &connection, const HttpRequest &request,
                               HttpResponse &response, Yield yield)
{
    ErrorCode error;
    http::async_write(connection.stream, request, yield[error]);
    if (!error) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(bodyLimit_);
        http::async_read(connection.stream, connection.buffer, parser, yield[error]);
        response = parser.release();
    }
    return error;
}

absl::StatusOr<HttpResponse> HttpClient::post(const Address &address, const std::string &path,
                                              std::string body, Milliseconds timeout, Yield yield)
{
    HttpRequest request(http::verb::post, path, 11);
    request.body() = std::move(body);
    return send(address, std::move(request), timeout, yield);
}

absl::StatusOr<HttpResponse> HttpClient::send(const Address &address, HttpRequest request,
                                              Milliseconds timeout, Yield yield)
{
    request.set(http::field::host, address.text());
    request.keep_alive(true);
    request.prepare_payload();
    if (authenticator_) {
        request.set(authHeader, authenticator_->sign(signedText(request)));
    }
    const TimePoint deadline = Clock::now() + timeout;
    auto connection = takeIdleConnection(address);
    ErrorCode error;
    if (!connection) {
        connection = std::make_unique<Connection>(context_);
        connection->stream.expires_at(std::min(deadline, Clock::now() + connectTimeout));
        connection->stream.async_connect(address.tcp(), yield[error]);
        if (!error) {
            connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
        }
    }
    HttpResponse response;
    if (!error) {
        connection->stream.expires_at(deadline);
        error = exchange(*connection, request, response, yield);
    }
    if (error) {
        const bool timedOut = error == beast::error::timeout;
        return makeError(timedOut ? ErrorKind::timedOut : ErrorKind::unavailable,
                         "no response from " + address.text() + ": " + error.message(),
                         "check that the process runs and can be reached");
    }
    connection->stream.expires_never();
    if (response.keep_alive() && connection->buffer.size() == 0) {
        connection->idleSince = Clock::now();
        idleConnections_[address].push_back(std::move(connection));
    }
    return response;
}

} // namespace kumquat
