#pragma once
/// \file
/// Keeps the orders to evacuate failure domains that this leader has proposed and that have no
/// result yet. Their number is bounded, because a group without a majority commits none of them.

#include "coordination/control/SharedProposal.h"

#include <memory>
#include <vector>

namespace kumquat {

class EvacuationProposals
{
public:
    /// Orders without a result. A group that commits has few of them; the set of evacuated failure
    /// domains holds as many.
    static constexpr std::size_t maxPending = 256;

    /// The uncommitted proposal of \p term that has the effect of \p order; null if there is none.
    std::shared_ptr<SharedProposal> find(const EvacuationOrder &order, std::uint64_t term) const;

    /// Adds an order that is about to be proposed in \p term; null when there are too many.
    std::shared_ptr<SharedProposal> add(const EvacuationOrder &order, std::uint64_t term);

    /// Removes \p proposal, which has a result.
    void remove(const std::shared_ptr<SharedProposal> &proposal);

private:
    void removeOtherTerms(std::uint64_t term);

    struct Pending
    {
        EvacuationOrder order;
        std::shared_ptr<SharedProposal> proposal;
    };

    std::vector<Pending> pending_; ///< in the order of their proposal
};

} // namespace kumquat
