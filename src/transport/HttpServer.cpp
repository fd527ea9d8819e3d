#include "transport/HttpServer.h"

#include "common/JsonReader.h"
#include "common/Time.h"
#include "common/UnwoundStack.h"
#include "kumquat/Error.h"
#include "kumquat/Event.h"
#include "transport/ParserLimits.h"
#include "transport/RequestFraming.h"
#include "transport/Spawn.h"

#include <array>
#include <sys/socket.h>

namespace kumquat {

namespace {

constexpr std::size_t maxHeaderBytes = 16 * 1024;
/// Peers reuse connections that have been idle for much less.
constexpr std::chrono::seconds idleTimeout { 60 };
constexpr std::chrono::seconds requestReadTimeout { 30 };
constexpr std::chrono::seconds responseWriteTimeout { 30 };
/// How long input is awaited and discarded after the last response of a connection.
constexpr std::chrono::seconds lingerTime { 1 };
/// After a failed accept, for example when the process has no file descriptor left.
constexpr std::chrono::milliseconds acceptRetryDelay { 50 };

bool isMalformed(ErrorCode error)
{
    return error != http::error::end_of_stream
        && error.category() == ErrorCode(http::error::bad_method).category();
}

bool hasArrived(TcpStream &stream)
{
    char byte = 0;
    return ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// A request may have arrived together with the end of its time, when the process stood still.
void closeIfIdle(TcpStream &stream)
{
    if (!hasArrived(stream)) {
        stream.close();
    }
}

// Closing a socket with unread input sends a reset, as does later input. It may discard a response
// that the peer has not received yet.
void discardInput(TcpStream &stream, Yield yield)
{
    std::array<char, 4096> part {};
    const TimePoint end = Clock::now() + responseWriteTimeout;
    ErrorCode error;
    while (!error && Clock::now() < end) {
        stream.expires_after(lingerTime);
        stream.async_read_some(asio::buffer(part), yield[error]);
    }
}

} // namespace

HttpResponse textResponse(http::status status, std::string body, const char *contentType)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, contentType);
    response.body() = std::move(body);
    return response;
}

HttpResponse errorResponse(http::status status, const absl::Status &error)
{
    Json::Value body;
    body["error"] = std::string(error.message());
    return textResponse(status, writeJson(body) + "\n");
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

HttpServer::HttpServer(asio::io_context &context, HttpHandler handler, HttpServerLimits limits)
    : context_(context), handler_(std::move(handler)), limits_(std::move(limits)),
      publicBytes_(limits_.totalBodyBytes), internalBytes_(limits_.totalBodyBytes),
      acceptor_(context)
{
}

absl::Status HttpServer::listen(const Address &address)
{
    const absl::Status status = openAcceptor(acceptor_, address, false);
    if (status.ok()) {
        spawnOn(context_, [self = shared_from_this()](Yield yield) {
            repeatOn(
                self->context_, [&] { return self->acceptConnection(yield); }, yield);
        });
    }
    return status;
}

void HttpServer::stop()
{
    stopping_ = true;
    ErrorCode ignored;
    acceptor_.close(ignored);
    for (const auto &stream : idleStreams_) {
        closeIfIdle(*stream);
    }
}

// Returns false when the server has stopped.
bool HttpServer::acceptConnection(Yield yield)
{
    const auto stream = std::make_shared<TcpStream>(context_);
    ErrorCode error;
    acceptor_.async_accept(stream->socket(), yield[error]);
    if (error && !stopping_) {
        pauseFor(context_, acceptRetryDelay, yield);
    } else if (!error && connections_ < limits_.connections) {
        stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
        addConnection(stream);
    }
    return !stopping_;
}

void HttpServer::addConnection(const std::shared_ptr<TcpStream> &stream)
{
    ++connections_;
    spawnOn(
        context_,
        [self = shared_from_this(), stream](Yield yield) { self->serveConnection(stream, yield); },
        [self = shared_from_this(), stream] {
            self->idleStreams_.erase(stream);
            --self->connections_;
        });
}

void HttpServer::serveConnection(const std::shared_ptr<TcpStream> &stream, Yield yield)
{
    beast::flat_buffer buffer(maxParsedBytes);
    while (serveRequest(stream, buffer, yield)) { }
    ErrorCode ignored;
    stream->socket().shutdown(TcpSocket::shutdown_send, ignored);
    discardInput(*stream, yield);
}

// Returns true when the connection may carry another request.
bool HttpServer::serveRequest(const std::shared_ptr<TcpStream> &stream, beast::flat_buffer &buffer,
                              Yield yield)
{
    Parser parser;
    const ErrorCode error = readHeader(stream, buffer, parser, yield);
    if (error) {
        if (isMalformed(error)) {
            refuse(*stream, http::status::bad_request, yield);
        }
        return false;
    }
    if (ambiguityOf(parser.get(), !parser.is_done()) != nullptr) {
        refuse(*stream, http::status::bad_request, yield);
        return false;
    }
    const std::size_t due = limits_.isPoll(parser.get()) ? 0 : 1;
    unanswered_ += due;
    const bool keepsConnection = answerRequest(*stream, buffer, parser, yield);
    unanswered_ -= due;
    return keepsConnection;
}

bool HttpServer::answerRequest(TcpStream &stream, beast::flat_buffer &buffer, Parser &parser,
                               Yield yield)
{
    const BodyLimit limit = limits_.body(parser.get());
    ByteBudget &budget = limit.isInternal ? internalBytes_ : publicBytes_;
    auto response = respond(stream, buffer, parser, limit.bytes, budget, yield);
    HeldBytes held(budget);
    if (response && !held.growTo(response->body().size())) {
        refuse(stream, http::status::service_unavailable, yield);
        return false;
    }
    return response && write(stream, std::move(*response), yield);
}

// Reads the rest of a request and returns its response; nothing if the request was refused.
std::optional<HttpResponse> HttpServer::respond(TcpStream &stream, beast::flat_buffer &buffer,
                                                Parser &parser, std::size_t limit,
                                                ByteBudget &budget, Yield yield)
{
    HeldBytes held(budget);
    if (const auto refused = readBody(stream, buffer, parser, limit, held, yield)) {
        refuse(stream, *refused, yield);
        return std::nullopt;
    }
    const HttpRequest request = parser.release();
    stream.expires_never();
    HttpResponse response = handle(request, yield);
    const bool failed = response.result() == http::status::internal_server_error;
    response.keep_alive(request.keep_alive() && !stopping_ && !failed);
    return response;
}

// Bytes stay in the socket until they are used: hasArrived() misses what a pending read has taken.
ErrorCode HttpServer::awaitInput(const std::shared_ptr<TcpStream> &stream, Yield yield)
{
    if (stopping_ && !hasArrived(*stream)) {
        return asio::error::operation_aborted;
    }
    const auto isWaiting = std::make_shared<bool>(true);
    Timer timer(context_, idleTimeout);
    timer.async_wait([stream, isWaiting](ErrorCode error) {
        if (!error && *isWaiting) {
            closeIfIdle(*stream);
        }
    });
    ErrorCode error;
    idleStreams_.insert(stream);
    stream->socket().async_wait(TcpSocket::wait_read, yield[error]);
    idleStreams_.erase(stream);
    *isWaiting = false;
    return error;
}

ErrorCode HttpServer::readHeader(const std::shared_ptr<TcpStream> &stream,
                                 beast::flat_buffer &buffer, Parser &parser, Yield yield)
{
    ErrorCode error;
    parser.header_limit(maxHeaderBytes);
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (buffer.size() == 0) {
        error = awaitInput(stream, yield);
    }
    if (!error) {
        stream->expires_after(requestReadTimeout);
        http::async_read_header(*stream, buffer, parser, yield[error]);
    }
    return error;
}

// Returns the status of a refusal, or nothing when the body was read. A body whose length is known
// is refused before any of it is read.
std::optional<http::status> HttpServer::readBody(TcpStream &stream, beast::flat_buffer &buffer,
                                                 Parser &parser, std::size_t limit, HeldBytes &held,
                                                 Yield yield)
{
    ErrorCode error;
    stream.expires_after(requestReadTimeout);
    while (true) {
        const std::size_t bytes = parser.get().body().size();
        const auto remaining = parser.content_length_remaining();
        const std::size_t expected = bytes + static_cast<std::size_t>(remaining.value_or(0));
        if (remaining.value_or(0) > limit || expected > limit) {
            return http::status::payload_too_large;
        }
        if (!held.growTo(expected)) {
            return http::status::service_unavailable;
        }
        if (parser.is_done()) {
            return std::nullopt;
        }
        http::async_read_some(stream, buffer, parser, yield[error]);
        if (error) {
            return http::status::bad_request;
        }
    }
}

// What a request makes its handler throw must not end the process, which serves others too.
HttpResponse HttpServer::handle(const HttpRequest &request, Yield yield)
{
    try {
        HttpResponse response = handler_(request, yield);
        response.prepare_payload();
        return response;
    } catch (const std::exception &exception) {
        forgetUnwoundFrames();
        ++counters_.handlerFailures;
        logEvent(Event::handlerFailed, LogLevel::error, "path={} {}", std::string(request.target()),
                 exception.what());
        HttpResponse response = textResponse(http::status::internal_server_error,
                                             "{\"error\":\"internal error; see the log\"}\n");
        response.prepare_payload();
        return response;
    }
}

void HttpServer::refuse(TcpStream &stream, http::status status, Yield yield)
{
    const bool isMalformed = status == http::status::bad_request;
    ++(isMalformed ? counters_.malformedRequests : counters_.oversizedRequests);
    const char *remedy = isMalformed ? "the request is malformed; send well-formed HTTP/1.1"
        : status == http::status::payload_too_large
        ? "the body is too long; send less"
        : "too much waits to be read or sent; ask later";
    HttpResponse response = textResponse(status, std::string("{\"error\":\"") + remedy + "\"}\n");
    response.prepare_payload();
    response.keep_alive(false);
    (void)write(stream, std::move(response), yield);
}

bool HttpServer::write(TcpStream &stream, HttpResponse response, Yield yield)
{
    ErrorCode error;
    response.version(11);
    stream.expires_after(responseWriteTimeout);
    http::async_write(stream, response, yield[error]);
    return !error && response.keep_alive();
}

} // namespace kumquat
