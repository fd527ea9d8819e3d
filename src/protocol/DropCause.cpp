#include "protocol/DropCause.h"

namespace kumquat {

const char *dropCauseName(DropCause cause)
{
    static const char *const names[dropCauseCount]
        = { "caller-closed",  "caller-reset",  "caller-stalled",     "connection-lost",
            "handler-failed", "target-failed", "request-incomplete", "process-stopped" };
    return names[static_cast<int>(cause)];
}

DropCause dropCauseOf(ErrorCode error)
{
    if (error == asio::error::eof || error == http::error::end_of_stream) {
        return DropCause::callerClosed;
    }
    if (error == asio::error::connection_reset || error == asio::error::broken_pipe) {
        return DropCause::callerReset;
    }
    return error == beast::error::timeout ? DropCause::callerStalled : DropCause::connectionLost;
}

bool isOwnDoing(DropCause cause)
{
    return cause >= DropCause::handlerFailed;
}

} // namespace kumquat
