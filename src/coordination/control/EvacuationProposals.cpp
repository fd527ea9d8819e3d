#include "coordination/control/EvacuationProposals.h"

#include <algorithm>

namespace kumquat {

// Only the last order for the failure domain counts: behind a withdrawal, an earlier copy no longer
// has the effect that is asked for. A proposal of an earlier term may be lost.
std::shared_ptr<SharedProposal> EvacuationProposals::find(const EvacuationOrder &order,
                                                          std::uint64_t term) const
{
    const auto last
        = std::find_if(pending_.rbegin(), pending_.rend(), [&order](const Pending &pending) {
              return pending.order.failureDomain == order.failureDomain;
          });
    const bool isSame = last != pending_.rend() && last->order.isWithdrawal == order.isWithdrawal
        && last->proposal->term == term;
    return isSame ? last->proposal : nullptr;
}

std::shared_ptr<SharedProposal> EvacuationProposals::add(const EvacuationOrder &order,
                                                         std::uint64_t term)
{
    if (pending_.size() >= maxPending) {
        removeOtherTerms(term);
    }
    if (pending_.size() >= maxPending) {
        return nullptr;
    }
    auto proposal = std::make_shared<SharedProposal>();
    proposal->term = term;
    pending_.push_back({ order, proposal });
    return proposal;
}

void EvacuationProposals::remove(const std::shared_ptr<SharedProposal> &proposal)
{
    pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                  [&proposal](const Pending &p) { return p.proposal == proposal; }),
                   pending_.end());
}

// A lost proposal gets no result, so it would count for ever.
void EvacuationProposals::removeOtherTerms(std::uint64_t term)
{
    pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                  [term](const Pending &p) { return p.proposal->term != term; }),
                   pending_.end());
}

} // namespace kumquat
