#include "kumquat/TargetRecord.h"

namespace kumquat {

const char *targetStateName(TargetState state)
{
    switch (state) {
    case TargetState::starting:
        return "starting";
    case TargetState::ready:
        return "ready";
    case TargetState::draining:
        return "draining";
    case TargetState::gone:
        return "gone";
    }
    return "unknown";
}

bool supersedes(const TargetRecord &candidate, const TargetRecord &present)
{
    if (candidate.incarnation != present.incarnation) {
        return candidate.incarnation > present.incarnation;
    }
    // Within one incarnation the state only advances: a target that drains does not become ready.
    if (candidate.state != present.state) {
        return candidate.state > present.state;
    }
    return candidate.version > present.version;
}

} // namespace kumquat
