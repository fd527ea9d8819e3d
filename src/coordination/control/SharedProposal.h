#pragma once
/// \file
/// Defines a command that this leader has proposed and whose result several requests may wait for.
/// Orders that are sent again share it, so that the log does not grow with each copy.

#include "coordination/consensus/GroupNode.h"
#include "transport/Asio.h"

#include <optional>
#include <set>

namespace kumquat {

struct SharedProposal
{
    std::uint64_t term = 0; ///< in which it was proposed
    std::optional<absl::StatusOr<ControlResult>> result;
    std::set<Timer *> waiting; ///< cancelled when there is a result
};

} // namespace kumquat
