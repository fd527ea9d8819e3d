#include "protocol/OnceMessages.h"

namespace kumquat {

const char *onceStatusName(OnceStatus status)
{
    static const char *const names[]
        = { "granted", "pending", "done", "unknown", "mismatch", "full", "accepted" };
    return names[static_cast<int>(status)];
}

} // namespace kumquat
