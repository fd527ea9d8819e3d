// How a connection learns, while responses are due on it, that its caller has left.
#include "protocol/CallerConnection.h"

#include <string_view>
#include <sys/socket.h>

namespace kumquat {

namespace {

/// No more is read ahead of its turn only to learn whether the caller is still there.
constexpr std::size_t watchedBytes = 16 * 1024;
/// May be sent before any response, and is skipped by a caller that did not ask for it.
constexpr std::string_view interimResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

void CallerConnection::watchDisconnect(OnDisconnect onDisconnect)
{
    onDisconnect_ = std::make_shared<OnDisconnect>(std::move(onDisconnect));
    watch();
}

void CallerConnection::stopWatching()
{
    onDisconnect_.reset();
}

void CallerConnection::watch()
{
    const std::weak_ptr<OnDisconnect> callback = onDisconnect_;
    stream_.socket().async_wait(TcpSocket::wait_read,
                                [self = shared_from_this(), callback](ErrorCode error) {
                                    if (!error && !callback.expired()) {
                                        self->takeWatched(callback);
                                    }
                                });
}

// Bytes belong to the caller's next requests, and the end of its input may be behind them.
void CallerConnection::takeWatched(const std::weak_ptr<OnDisconnect> &callback)
{
    if (input_.size() >= watchedBytes) {
        return;
    }
    const ErrorCode error = input_.receiveNow();
    if (!error || error == asio::error::would_block) {
        watch();
    } else if (error == asio::error::eof && !hasLeftAfterInput()) {
        watchReset(callback);
    } else {
        (*callback.lock())(dropCauseOf(error));
    }
}

// A caller that has closed only its writing side still reads; one that has closed the connection
// answers whatever it is sent with a reset. A response that is on its way shows that as well.
bool CallerConnection::hasLeftAfterInput()
{
    inputEnded_ = true;
    if (!readsInterim_) {
        return true;
    }
    if (isSending_ || responseStarted_ || hasUnreceived()) {
        return false;
    }
    const auto sent = ::send(stream_.socket().native_handle(), interimResponse.data(),
                             interimResponse.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent != static_cast<ssize_t>(interimResponse.size());
}

void CallerConnection::watchReset(const std::weak_ptr<OnDisconnect> &callback)
{
    stream_.socket().async_wait(TcpSocket::wait_error,
                                [self = shared_from_this(), callback](ErrorCode error) {
                                    const auto onDisconnect = callback.lock();
                                    if (!error && onDisconnect) {
                                        (*onDisconnect)(DropCause::callerClosed);
                                    }
                                });
}

} // namespace kumquat
