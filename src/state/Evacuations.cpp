#include "state/Evacuations.h"

namespace kumquat {

EvacuationResult Evacuations::apply(const EvacuationOrder &order)
{
    const bool isEvacuated = failureDomains_.count(order.failureDomain) > 0;
    if (isEvacuated != order.isWithdrawal) {
        return { true, number_ };
    }
    if (order.isWithdrawal) {
        failureDomains_.erase(order.failureDomain);
    } else if (failureDomains_.size() >= maxFailureDomains) {
        return { false, number_ };
    } else {
        failureDomains_.insert(order.failureDomain);
    }
    return { true, ++number_ };
}

} // namespace kumquat
