#include "common/InstanceMemory.h"

#include <algorithm>
#include <sys/sysinfo.h>

namespace kumquat {

std::size_t usableMemoryBytes(int limitMb)
{
    const std::size_t limit = static_cast<std::size_t>(limitMb) * bytesPerMegabyte;
    struct sysinfo info = {};
    if (sysinfo(&info) != 0) {
        return limit;
    }
    return std::min(limit, static_cast<std::size_t>(info.totalram) * info.mem_unit);
}

} // namespace kumquat
