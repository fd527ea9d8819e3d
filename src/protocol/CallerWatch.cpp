// How a connection learns, while responses are due on it, that its caller has left.
#include "protocol/CallerConnection.h"

namespace kumquat {

namespace {

/// No more is read ahead of its turn only to learn whether the caller is still there.
constexpr std::size_t watchedBytes = 16 * 1024;

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
    } else {
        (*callback.lock())(dropCauseOf(error));
    }
}

} // namespace kumquat
