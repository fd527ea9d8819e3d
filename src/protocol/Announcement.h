#pragma once
/// \file
/// Reads the announcement that a target sends as JSON to an entry's internal port.
/// Every field is checked; an announcement with any invalid field is refused as a whole.

#include "kumquat/TargetRecord.h"

#include <absl/status/statusor.h>

namespace kumquat {

/// Fails with ErrorKind::badMessage and lists every problem.
absl::StatusOr<TargetRecord> parseAnnouncement(const std::string &name, const std::string &json);

/// The JSON that parseAnnouncement() reads.
std::string writeAnnouncement(const TargetRecord &record);

} // namespace kumquat
