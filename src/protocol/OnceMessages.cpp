#include "protocol/OnceMessages.h"

namespace kumquat {

const char *onceVerdictName(OnceVerdict verdict)
{
    static const char *const names[]
        = { "granted", "pending", "done", "unknown", "mismatch", "full", "accepted" };
    return names[static_cast<int>(verdict)];
}

} // namespace kumquat
