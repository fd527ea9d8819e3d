#include "protocol/TargetConnection.h"

#include "transport/ParserLimits.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>

namespace kumquat {

namespace {

constexpr std::size_t maxHeaderBytes = 32 * 1024;
constexpr std::size_t bodyPartBytes = 64 * 1024;
/// Received at a time of a body.
constexpr std::size_t minReadBytes = 512;
constexpr std::size_t maxReadBytes = 16 * 1024;
/// An idle connection keeps a buffer of this size.
constexpr std::size_t maxIdleBufferBytes = 4 * 1024;
constexpr unsigned unackedTimeoutMs = 5'000;
constexpr int maxInterimResponses = 8; // per request
/// What a body may have beside it: so much, and this many times its own length, since a chunk of a
/// few bytes has a line of its own.
constexpr std::uint64_t minFramingLimit = 64 * 1024;
constexpr std::uint64_t maxFramingPerByte = 2;
constexpr std::size_t maxInterimBytes = 4 * 1024;
constexpr unsigned firstStatus = 100;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;
constexpr std::string_view interimStart = "HTTP/1.1 1";
constexpr std::string_view headerEnd = "\r\n\r\n";
constexpr absl::string_view idleTimeoutName = "timeout=";
/// For the time that a request takes to reach the target.
constexpr Milliseconds idleTimeoutMargin { 500 };

absl::string_view toView(beast::string_view text)
{
    return { text.data(), text.size() };
}

// The parser takes any coding before `chunked`, or none at all, for no coding, also beside a length
// and in a version without codings. The body would then be passed on with a length that is not its
// own.
bool hasSoundFraming(const http::response_header<> &header)
{
    const auto codings = header.count(http::field::transfer_encoding);
    const bool chunkedOnly
        = codings == 1 && beast::iequals(header[http::field::transfer_encoding], "chunked");
    return codings == 0
        || (chunkedOnly && header.version() == 11
            && header.count(http::field::content_length) == 0);
}

} // namespace

TargetConnection::TargetConnection(asio::io_context &context, Address address)
    : address_(std::move(address)), stream_(context), buffer_(maxParsedBytes)
{
}

ErrorCode TargetConnection::connect(TimePoint deadline, Yield yield)
{
    ErrorCode error;
    stream_.expires_at(deadline);
    stream_.async_connect(address_.tcp(), yield[error]);
    if (!error) {
        stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
        stream_.socket().non_blocking(true, error);
        // Closing drops what has not arrived yet. Otherwise a request that was given up would still
        // be delivered when a network partition ends, perhaps to a target that leaves.
        stream_.socket().set_option(asio::socket_base::linger(true, 0), error);
        setsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                   &unackedTimeoutMs, sizeof(unackedTimeoutMs));
        lastResponseAt_ = Clock::now();
    }
    return error;
}

ErrorCode TargetConnection::sendRequest(const HttpRequest &request, Yield yield)
{
    ErrorCode error;
    startRequest();
    http::async_write(stream_, request, yield[error]);
    isRequestSent_ = !error;
    return error;
}

ErrorCode TargetConnection::sendRequest(const http::request_header<> &header,
                                        const std::string &body, Yield yield)
{
    ErrorCode error;
    startRequest();
    const http::request<http::span_body<const char>> request(
        header, boost::beast::span<const char>(body.data(), body.size()));
    http::async_write(stream_, request, yield[error]);
    isRequestSent_ = !error;
    return error;
}

ErrorCode TargetConnection::sendHeader(http::request_header<> requestHeader,
                                       std::optional<std::uint64_t> length, Yield yield)
{
    ErrorCode error;
    startRequest();
    streamedRequest_.emplace(std::move(requestHeader));
    streamedRequest_->version(11);
    if (length) {
        streamedRequest_->content_length(*length);
    } else {
        streamedRequest_->chunked(true);
    }
    streamedRequest_->body().data = nullptr;
    streamedRequest_->body().more = true;
    serializer_.emplace(*streamedRequest_);
    http::async_write_header(stream_, *serializer_, yield[error]);
    return error;
}

ErrorCode TargetConnection::sendBodyPart(const std::string &part, bool last, Yield yield)
{
    ErrorCode error;
    streamedRequest_->body().data = part.empty() ? nullptr : const_cast<char *>(part.data());
    streamedRequest_->body().size = part.size();
    streamedRequest_->body().more = !last;
    inputWatch_->isSending = true;
    cancelSendingOnResponse();
    http::async_write(stream_, *serializer_, yield[error]);
    inputWatch_->isSending = false;
    if (error == http::error::need_buffer) {
        error = {};
    }
    isRequestSent_ = last && !error;
    return error;
}

void TargetConnection::startRequest()
{
    ++requestsSent_;
    isRequestSent_ = false;
    parser_.reset();
}

// A target that responds early may stay open and read no more.
void TargetConnection::cancelSendingOnResponse()
{
    if (inputWatch_->isPending) {
        return;
    }
    inputWatch_->isPending = true;
    stream_.socket().async_wait(TcpSocket::wait_read, [this, watch = inputWatch_](ErrorCode error) {
        watch->isPending = false;
        if (!error && watch->isSending && hasResponse()) {
            stream_.cancel();
        }
    });
}

ErrorCode TargetConnection::sendNow(const std::string &request)
{
    startRequest();
    const auto sent = ::send(stream_.socket().native_handle(), request.data(), request.size(),
                             MSG_DONTWAIT | MSG_NOSIGNAL);
    isRequestSent_ = sent == static_cast<ssize_t>(request.size());
    return isRequestSent_ ? ErrorCode() : asio::error::connection_aborted;
}

ErrorCode TargetConnection::readHeader(bool isHeadRequest, Yield yield)
{
    return readHeaderBy(
        [&](Parser &parser, ErrorCode &error) {
            http::async_read_header(stream_, buffer_, parser, yield[error]);
        },
        isHeadRequest);
}

ErrorCode TargetConnection::readBody(std::string &body, std::size_t limit, Yield yield)
{
    return readBodyBy(
        [&](InputBuffer input, ErrorCode &error) {
            return stream_.async_read_some(input, yield[error]);
        },
        body, limit);
}

// Calls \p read, which sets \p error, until it needs no more input.
template <typename Read>
std::size_t TargetConnection::readWhenReady(Read &&read, ErrorCode &error, Yield yield)
{
    std::size_t bytes = read();
    while (error == asio::error::would_block) {
        waitForInput(error, yield);
        if (!error) {
            bytes = read();
        }
    }
    return bytes;
}

ErrorCode TargetConnection::readShortHeader(Yield yield)
{
    ErrorCode error;
    // A read before the response can have arrived would only fail.
    waitForInput(error, yield);
    if (error) {
        return error;
    }
    return readHeaderBy(
        [&](Parser &parser, ErrorCode &result) {
            (void)readWhenReady(
                [&] { return http::read_header(stream_.socket(), buffer_, parser, result); },
                result, yield);
        },
        false);
}

ErrorCode TargetConnection::readShortBody(std::string &body, std::size_t limit, Yield yield)
{
    return readBodyBy(
        [&](InputBuffer input, ErrorCode &result) {
            return readWhenReady([&] { return stream_.socket().read_some(input, result); }, result,
                                 yield);
        },
        body, limit);
}

void TargetConnection::waitForInput(ErrorCode &error, Yield yield)
{
    stream_.socket().async_wait(TcpSocket::wait_read, yield[error]);
}

ErrorCode TargetConnection::readHeaderBy(const ReadHeader &read, bool isHeadRequest)
{
    ErrorCode error;
    for (int interim = 0; interim <= maxInterimResponses; ++interim) {
        parser_.emplace();
        header_.reset();
        parser_->header_limit(maxHeaderBytes);
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        parser_->skip(isHeadRequest);
        bodyBytes_ = 0;
        framingBytes_ = 0;
        read(*parser_, error);
        if (error) {
            return error;
        }
        // The parser takes any three digits.
        const unsigned status = parser_->get().result_int();
        if (status < firstStatus || status > lastStatus) {
            return http::error::bad_status;
        }
        if (status >= firstFinalStatus) {
            // The final response; readBody() reads its body. A body that is delimited only by the
            // end of the connection is complete unless isCutShort().
            keepHeader();
            recordIdleTimeout();
            return hasSoundFraming(parser_->get()) ? ErrorCode()
                                                   : http::error::bad_transfer_encoding;
        }
    }
    return http::error::bad_status;
}

// The parser adds the fields of a trailer to those of the header. There they could change what the
// response means, or exceed the limit on a header.
void TargetConnection::keepHeader()
{
    if (parser_->chunked()) {
        header_.emplace(parser_->get().base());
    }
}

ErrorCode TargetConnection::readBodyBy(const Receive &receive, std::string &body, std::size_t limit)
{
    ErrorCode error;
    parser_->eager(true);
    while (!parser_->is_done() && body.size() < limit) {
        const std::size_t before = body.size();
        const std::size_t expected = parser_->content_length_remaining().value_or(bodyPartBytes);
        body.resize(std::min(limit, before + std::min(expected, bodyPartBytes)));
        parser_->get().body().data = body.data() + before;
        parser_->get().body().size = body.size() - before;
        error = readPartBy(receive);
        body.resize(body.size() - parser_->get().body().size);
        if (error) {
            return error;
        }
    }
    if (!parser_->is_done()) {
        return error;
    }
    if (buffer_.size() == 0 && buffer_.capacity() > maxIdleBufferBytes) {
        buffer_.shrink_to_fit();
    }
    lastResponseAt_ = Clock::now();
    return isCutShort() ? http::error::partial_message : error;
}

// Reads until the parser's part of the body is full or the response is complete.
ErrorCode TargetConnection::readPartBy(const Receive &receive)
{
    ErrorCode error;
    while (!error && !parser_->is_done() && parser_->get().body().size > 0) {
        error = parseBody();
        if (error == http::error::need_more) {
            error = receiveBody(receive);
        }
    }
    return error == http::error::need_buffer ? ErrorCode() : error;
}

// Fails with http::error::need_more when nothing that was received can be parsed.
ErrorCode TargetConnection::parseBody()
{
    if (buffer_.size() == 0) {
        return http::error::need_more;
    }
    ErrorCode error;
    const std::size_t room = parser_->get().body().size;
    const std::size_t parsed = parser_->put(buffer_.data(), error);
    const std::size_t received = room - parser_->get().body().size;
    buffer_.consume(parsed);
    bodyBytes_ += received;
    framingBytes_ += parsed - std::min(parsed, received);
    if (isMostlyFraming() && (!error || error == http::error::need_more)) {
        error = http::error::bad_chunk;
    }
    return error;
}

ErrorCode TargetConnection::receiveBody(const Receive &receive)
{
    const std::size_t free = buffer_.max_size() - buffer_.size();
    if (free == 0) {
        return http::error::buffer_overflow;
    }
    ErrorCode error;
    const std::uint64_t expected
        = parser_->content_length_remaining().value_or(2 * buffer_.capacity());
    const auto wanted
        = static_cast<std::size_t>(std::clamp<std::uint64_t>(expected, minReadBytes, maxReadBytes));
    buffer_.commit(receive(buffer_.prepare(std::min(free, wanted)), error));
    if (error == asio::error::eof) {
        error = {};
        parser_->put_eof(error);
    }
    return error;
}

// Such a response may have no end, and would take processor time and bandwidth from others until
// its deadline.
bool TargetConnection::isMostlyFraming() const
{
    return framingBytes_ > minFramingLimit + maxFramingPerByte * bodyBytes_;
}

// RFC 2068, section 19.7.1.1: `Keep-Alive: timeout=5, max=100`.
void TargetConnection::recordIdleTimeout()
{
    idleTimeout_.reset();
    for (const absl::string_view part :
         absl::StrSplit(toView(parser_->get()[http::field::keep_alive]), ',')) {
        const absl::string_view text = absl::StripAsciiWhitespace(part);
        int seconds = 0;
        if (absl::StartsWithIgnoreCase(text, idleTimeoutName)
            && absl::SimpleAtoi(text.substr(idleTimeoutName.size()), &seconds)) {
            idleTimeout_ = std::chrono::seconds(std::max(0, seconds));
        }
    }
}

bool TargetConnection::isNearIdleTimeout(TimePoint now) const
{
    return idleTimeout_ && now - lastResponseAt_ > *idleTimeout_ - idleTimeoutMargin;
}

// The error of a reset is reported once. If sending the request has taken it, reading finds the
// same end as after an orderly close, so such an end proves a whole body only behind a whole
// request.
bool TargetConnection::isCutShort() const
{
    return parser_->need_eof() && !isRequestSent_;
}

std::optional<std::uint64_t> TargetConnection::contentLength() const
{
    const auto length = parser_->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

bool TargetConnection::isReusable() const
{
    // Bytes beyond the response belong to no request of this connection.
    return isResponseComplete() && parser_->get().keep_alive() && buffer_.size() == 0 && isOpen();
}

bool TargetConnection::isStale()
{
    char byte = 0;
    const auto seen = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return seen >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool TargetConnection::hasResponse()
{
    while (skipInterim()) { }
    std::array<char, interimStart.size()> start {};
    const auto seen = ::recv(stream_.socket().native_handle(), start.data(), start.size(),
                             MSG_PEEK | MSG_DONTWAIT);
    const std::string_view text(start.data(), static_cast<std::size_t>(std::max<ssize_t>(0, seen)));
    return !text.empty() && interimStart.substr(0, text.size()) != text;
}

// Only what is an interim response for certain is taken from the socket; readHeader() reads the
// rest.
bool TargetConnection::skipInterim()
{
    std::array<char, maxInterimBytes> input {};
    const int socket = stream_.socket().native_handle();
    const auto seen = ::recv(socket, input.data(), input.size(), MSG_PEEK | MSG_DONTWAIT);
    const std::string_view text(input.data(), static_cast<std::size_t>(std::max<ssize_t>(0, seen)));
    const auto end = text.find(headerEnd);
    if (text.substr(0, interimStart.size()) != interimStart || end == std::string_view::npos) {
        return false;
    }
    return ::recv(socket, input.data(), end + headerEnd.size(), MSG_DONTWAIT) > 0;
}

void TargetConnection::close()
{
    ErrorCode ignored;
    stream_.socket().close(ignored);
}

} // namespace kumquat
