#pragma once
/// \file
/// Keeps the failure domains that operators have evacuated. It is replicated, so it must depend on
/// the applied orders only.

#include <msgpack.hpp>

#include <cstdint>
#include <set>
#include <string>

namespace kumquat {

/// Orders or withdraws the evacuation of a failure domain.
struct EvacuationOrder
{
    std::string failureDomain;
    bool isWithdrawal = false;
    MSGPACK_DEFINE(failureDomain, isWithdrawal)
};

struct EvacuationResult
{
    bool accepted = false; ///< false when too many failure domains are evacuated already
    std::uint64_t number = 0; ///< of the set that the order led to
};

class Evacuations
{
public:
    /// Far more than a deployment has; keeps orders for misspelt names from filling snapshots.
    static constexpr std::size_t maxFailureDomains = 256;

    /// An order that is applied again changes nothing.
    EvacuationResult apply(const EvacuationOrder &order);

    /// Rises with each change of the set.
    std::uint64_t number() const { return number_; }
    const std::set<std::string> &failureDomains() const { return failureDomains_; }

    MSGPACK_DEFINE(number_, failureDomains_)

private:
    std::uint64_t number_ = 0;
    std::set<std::string> failureDomains_;
};

} // namespace kumquat
