#include "protocol/CallerInput.h"

#include "common/UnwoundStack.h"

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <sys/socket.h>

namespace kumquat {

namespace {

constexpr std::size_t firstReadBytes = 4 * 1024;

} // namespace

CallerInput::CallerInput(asio::io_context &context, TcpStream &stream)
    : stream_(stream), wait_(std::make_shared<Wait>(context))
{
}

void CallerInput::limitTo(std::size_t bytes)
{
    buffer_.max_size(std::max(buffer_.size(), bytes));
}

bool CallerInput::hasArrived()
{
    char byte = 0;
    return buffer_.size() > 0
        || ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Bytes stay in the socket until they are used: hasArrived() misses what a pending read has taken.
ErrorCode CallerInput::receive(Yield yield)
{
    stream_.expires_never();
    return receiveUntil(TimePoint::max(), yield);
}

ErrorCode CallerInput::receiveNow()
{
    const std::size_t free = buffer_.max_size() - buffer_.size();
    const std::size_t wanted = std::max(firstReadBytes, buffer_.capacity() - buffer_.size());
    const auto room = buffer_.prepare(std::min(free, wanted));
    if (room.size() == 0) {
        return http::error::buffer_overflow;
    }
    ssize_t received = -1;
    do {
        received = ::recv(stream_.socket().native_handle(), room.data(), room.size(), MSG_DONTWAIT);
    } while (received < 0 && errno == EINTR);
    if (received == 0) {
        return asio::error::eof;
    }
    if (received < 0) {
        return errno == EAGAIN ? ErrorCode(asio::error::would_block)
                               : ErrorCode(errno, boost::system::system_category());
    }
    buffer_.commit(static_cast<std::size_t>(received));
    return {};
}

// What has arrived by the time that the limit is noticed is in time.
ErrorCode CallerInput::receiveUntil(TimePoint until, Yield yield)
{
    ErrorCode waited;
    ErrorCode error = receiveNow();
    while (error == asio::error::would_block && !waited) {
        waited = awaitInput(until, yield);
        error = receiveNow();
    }
    return error == asio::error::would_block ? waited : error;
}

void CallerInput::endWait()
{
    wait_->isOver = true;
    wait_->timer.cancel();
}

ErrorCode CallerInput::discardUntil(TimePoint until, Yield yield)
{
    ErrorCode error;
    while (!error) {
        buffer_.consume(buffer_.size());
        error = Clock::now() < until ? receiveUntil(until, yield) : asio::error::timed_out;
    }
    return error;
}

// The stream's own timer would close the connection and cut the responses that are due on it.
ErrorCode CallerInput::awaitInput(TimePoint until, Yield yield)
{
    if (!wait_->isPending) {
        wait_->isPending = true;
        stream_.socket().async_wait(TcpSocket::wait_read, [wait = wait_](ErrorCode error) {
            wait->isPending = false;
            wait->error = error;
            wait->timer.cancel();
        });
    }
    ErrorCode ignored;
    wait_->isOver = false;
    while (wait_->isPending && !wait_->isOver && Clock::now() < until) {
        wait_->timer.expires_at(until);
        wait_->timer.async_wait(yield[ignored]);
    }
    return wait_->isPending ? ErrorCode(asio::error::timed_out) : wait_->error;
}

ErrorCode CallerInput::parse(Parser &parser)
{
    if (buffer_.size() == 0) {
        return http::error::need_more;
    }
    ErrorCode error;
    try {
        buffer_.consume(parser.put(buffer_.data(), error));
    } catch (const std::length_error &) {
        forgetUnwoundFrames();
        error = http::error::header_limit; // A field may be shorter than the header may be.
    }
    return error;
}

ErrorCode CallerInput::readHeader(Parser &parser, TimePoint until, Yield yield)
{
    ErrorCode error;
    while (!error && !parser.is_header_done()) {
        error = parse(parser);
        if (error == http::error::need_more) {
            error = receiveUntil(until, yield);
        }
    }
    return error;
}

} // namespace kumquat
