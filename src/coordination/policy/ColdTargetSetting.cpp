#include "coordination/policy/ColdTargetSetting.h"

namespace kumquat {

bool limitsColdTargets(const Service &service)
{
    return service.warmup.count() > 0 && service.warmupRequestsPerSecond > 0;
}

} // namespace kumquat
