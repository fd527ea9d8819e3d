#include "transport/HttpServer.h"

#include "kumquat/Error.h"
#include "transport/Spawn.h"

#include <sys/socket.h>

namespace kumquat {

namespace {

constexpr std::size_t maxHeaderBytes = 16 * 1024;
constexpr std::size_t maxBodyBytes = 64 * 1024 * 1024;
constexpr std::chrono::seconds requestReadTimeout { 30 };
constexpr std::chrono::seconds responseWriteTimeout { 30 };
/// After a failed accept, for example when the process has no file descriptor left.
constexpr std::chrono::milliseconds acceptRetryDelay { 50 };

} // namespace

HttpResponse textResponse(http::status status, std::string body, const char *contentType)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
    return response;
}

absl::Status openAcceptor(TcpAcceptor &acceptor, const Address &address, bool reusePort)
{
    ErrorCode error;
    acceptor.open(asio::ip::tcp::v4(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (reusePort) {
        const int on = 1;
        setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    }
    acceptor.bind(address.tcp(), error);
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return makeError(ErrorKind::badSettings,
                         "cannot listen on " + address.text() + ": " + error.message(),
                         "choose a free address of this instance");
    }
    return absl::OkStatus();
}

HttpServer::HttpServer(asio::io_context &context, HttpHandler handler)
    : context_(context), handler_(std::move(handler)), acceptor_(context)
{
}

absl::Status HttpServer::listen(const Address &address)
{
    const absl::Status status = openAcceptor(acceptor_, address, false);
    if (status.ok()) {
        spawnOn(context_,
                [self = shared_from_this()](Yield yield) { self->acceptConnections(yield); });
    }
    return status;
}

void HttpServer::stop()
{
    stopping_ = true;
    ErrorCode ignored;
    acceptor_.close(ignored);
    for (const auto &stream : idleStreams_) {
        stream->close();
    }
}

void HttpServer::acceptConnections(Yield yield)
{
    while (!stopping_) {
        auto stream = std::make_shared<TcpStream>(context_);
        ErrorCode error;
        acceptor_.async_accept(stream->socket(), yield[error]);
        if (error) {
            if (!stopping_) {
                pauseFor(context_, acceptRetryDelay, yield);
            }
            continue;
        }
        stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
        spawnOn(context_, [self = shared_from_this(), stream](Yield inner) {
            self->serveConnection(stream, inner);
        });
    }
}

void HttpServer::serveConnection(const std::shared_ptr<TcpStream> &stream, Yield yield)
{
    beast::flat_buffer buffer;
    ErrorCode error;
    while (!stopping_) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(maxHeaderBytes);
        parser.body_limit(maxBodyBytes);
        idleStreams_.insert(stream);
        stream->expires_never();
        http::async_read_header(*stream, buffer, parser, yield[error]);
        idleStreams_.erase(stream);
        if (!error) {
            stream->expires_after(requestReadTimeout);
            http::async_read(*stream, buffer, parser, yield[error]);
        }
        if (error) {
            break;
        }
        const HttpRequest request = parser.release();
        stream->expires_never();
        HttpResponse response = handler_(request, yield);
        response.version(11);
        response.keep_alive(request.keep_alive() && !stopping_);
        response.prepare_payload();
        stream->expires_after(responseWriteTimeout);
        http::async_write(*stream, response, yield[error]);
        if (error || !response.keep_alive()) {
            break;
        }
    }
    stream->socket().shutdown(TcpSocket::shutdown_send, error);
}

} // namespace kumquat
