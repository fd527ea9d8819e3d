// How the responses of a caller's connection are framed and written.
#include "protocol/CallerConnection.h"

#include <algorithm>

namespace kumquat {

namespace {

bool mayHaveBody(const HttpResponse &response)
{
    return response.result() != http::status::no_content
        && response.result() != http::status::not_modified;
}

// The only length that such a response may name is that of the body left out, if it is known.
void leaveBodyOut(HttpResponse &response)
{
    const std::size_t length = response.body().size();
    response.content_length(boost::none);
    if (mayHaveBody(response) && length > 0) {
        response.content_length(length);
    }
    response.body().clear();
}

} // namespace

// Each version has a default of its own, and a target's may be another than the one that is
// written.
void CallerConnection::sayWhetherKept(HttpResponse &response, bool keep)
{
    response.version(11);
    response.keep_alive(keep);
}

ErrorCode CallerConnection::writeResponse(HttpResponse response, Yield yield,
                                          const PartPacing &pacing)
{
    stopWatching();
    discardShortBody(yield);
    const bool keep = keepsAlive();
    sayWhetherKept(response, keep);
    const bool isHeadRequest = parser_->is_header_done() && header().method() == http::verb::head;
    responseStarted_ = true;
    const ErrorCode error = writeMessage(response, isHeadRequest, pacing, yield);
    if (error) {
        hooks_.responsesDropped(dropCauseOf(error), 1);
    }
    reusable_ = !error && keep;
    requestUnread_ = !error && (!parser_->is_header_done() || !isBodyRead());
    return error;
}

ErrorCode CallerConnection::writeMessage(HttpResponse &response, bool isHeadRequest,
                                         const PartPacing &pacing, Yield yield)
{
    probesSent_ = 0;
    stream_.expires_after(writeTimeout);
    if (isHeadRequest || !mayHaveBody(response)) {
        return writeWithoutBody(response, yield);
    }
    response.prepare_payload();
    if (pacing) {
        return writeInParts(response, pacing, yield);
    }
    ErrorCode error;
    http::async_write(stream_, response, yield[error]);
    return error;
}

ErrorCode CallerConnection::writeWithoutBody(HttpResponse &response, Yield yield)
{
    ErrorCode error;
    leaveBodyOut(response);
    http::response_serializer<http::string_body> serializer(response);
    http::async_write_header(stream_, serializer, yield[error]);
    return error;
}

// The length of the body is known, so its bytes follow the header as they are. The waits between
// the parts do not count as time in which the caller takes nothing.
ErrorCode CallerConnection::writeInParts(HttpResponse &response, const PartPacing &pacing,
                                         Yield yield)
{
    ErrorCode error;
    http::response_serializer<http::string_body> serializer(response);
    http::async_write_header(stream_, serializer, yield[error]);
    const std::string &body = response.body();
    Clock::duration timeLeft = writeTimeout;
    std::size_t written = 0;
    while (!error && written < body.size()) {
        const BodyPart part = pacing(body.size() - written);
        error = awaitStart(part.start, yield);
        if (!error) {
            error = writePart(asio::buffer(body.data() + written, part.bytes), timeLeft, yield);
        }
        written += part.bytes;
    }
    return error;
}

ErrorCode CallerConnection::writePart(asio::const_buffer part, Clock::duration &timeLeft,
                                      Yield yield)
{
    ErrorCode error;
    const TimePoint start = Clock::now();
    stream_.expires_after(timeLeft);
    asio::async_write(stream_, part, yield[error]);
    timeLeft -= std::min(timeLeft, Clock::now() - start);
    return error;
}

// Fails when the connection's responses are cancelled meanwhile.
ErrorCode CallerConnection::awaitStart(TimePoint start, Yield yield)
{
    ErrorCode error;
    if (Clock::now() < start) {
        nextPart_.expires_at(start);
        nextPart_.async_wait(yield[error]);
    }
    return error;
}

ErrorCode CallerConnection::writeHeader(http::response_header<> responseHeader,
                                        std::optional<std::uint64_t> length, Yield yield)
{
    stopWatching();
    responseStarted_ = true;
    streamedResponse_.emplace(std::move(responseHeader));
    streamedResponse_->version(11);
    // A caller of an older version knows no chunks: the end of the connection ends the body.
    const bool knowsChunks = header().version() >= 11;
    if (length) {
        streamedResponse_->content_length(*length);
    } else if (knowsChunks) {
        streamedResponse_->chunked(true);
    }
    streamedResponse_->keep_alive((length || knowsChunks) && keepsAlive());
    streamedResponse_->body().data = nullptr;
    streamedResponse_->body().more = true;
    serializer_.emplace(*streamedResponse_);
    ErrorCode error;
    stream_.expires_after(writeTimeout);
    http::async_write_header(stream_, *serializer_, yield[error]);
    return error;
}

ErrorCode CallerConnection::writeBodyPart(const std::string &part, bool last, Yield yield)
{
    ErrorCode error;
    streamedResponse_->body().data = part.empty() ? nullptr : const_cast<char *>(part.data());
    streamedResponse_->body().size = part.size();
    streamedResponse_->body().more = !last;
    stream_.expires_after(writeTimeout);
    http::async_write(stream_, *serializer_, yield[error]);
    if (error == http::error::need_buffer) {
        error = {};
    }
    reusable_ = last && !error && streamedResponse_->keep_alive();
    return error;
}

} // namespace kumquat
