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
/// For each response, since callers take only a few interim ones.
constexpr int maxProbes = 4;
/// The following pauses double.
constexpr Milliseconds firstProbePause { 100 };

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
        watchReset(callback);
        return;
    }
    const ErrorCode error = input_.receiveNow();
    if (!error || error == asio::error::would_block) {
        watch();
    } else if (error == asio::error::eof && readsInterim_) {
        inputEnded_ = true;
        watchReset(callback);
        probe(callback, firstProbePause);
    } else {
        (*callback.lock())(dropCauseOf(error));
    }
}

// A caller that has closed only its writing side still reads; one that has closed the connection
// answers whatever it is sent with a reset. It may close later, and something on the way to it may
// take a probe and pass the reset on only with the next one.
void CallerConnection::probe(const std::weak_ptr<OnDisconnect> &callback, Milliseconds pause)
{
    if (callback.expired() || probesSent_ == maxProbes) {
        return;
    }
    sendProbe();
    probeTimer_.expires_after(pause);
    probeTimer_.async_wait([self = shared_from_this(), callback, pause](ErrorCode error) {
        if (!error) {
            self->probe(callback, 2 * pause);
        }
    });
}

// A response that is on its way shows a reset as well, and an interim response behind it would
// belong to no request.
void CallerConnection::sendProbe()
{
    if (isSending_ || responseStarted_ || dueResponses() == 0 || hasUnreceived()) {
        return;
    }
    ++probesSent_;
    (void)::send(stream_.socket().native_handle(), interimResponse.data(), interimResponse.size(),
                 MSG_DONTWAIT | MSG_NOSIGNAL);
}

void CallerConnection::watchReset(const std::weak_ptr<OnDisconnect> &callback)
{
    stream_.socket().async_wait(TcpSocket::wait_error,
                                [self = shared_from_this(), callback](ErrorCode error) {
                                    const auto onDisconnect = callback.lock();
                                    if (!error && onDisconnect) {
                                        (*onDisconnect)(self->causeOfLoss());
                                    }
                                });
}

DropCause CallerConnection::causeOfLoss()
{
    int error = 0;
    socklen_t length = sizeof(error);
    (void)::getsockopt(stream_.socket().native_handle(), SOL_SOCKET, SO_ERROR, &error, &length);
    const DropCause cause = dropCauseOf(ErrorCode(error, boost::system::system_category()));
    const bool isReset = error == 0 || cause == DropCause::callerReset;
    return inputEnded_ && isReset ? DropCause::callerClosed : cause;
}

} // namespace kumquat
