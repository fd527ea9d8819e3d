#pragma once
/// \file
/// Defines the names and formats by which callers, targets and operators speak to the processes.
/// The product has its own; an adapter supplies another one and decides nothing.

#include "kumquat/Configuration.h"
#include "kumquat/TargetRecord.h"
#include "protocol/Headers.h"

namespace kumquat {

/// Names of headers; an empty name is not used.
struct HeaderNames
{
    std::string deadline; ///< milliseconds that the caller still waits
    std::string requestId; ///< names one sending of a request; targets echo it
    std::string expectedTarget; ///< the target that is meant; any other refuses
    std::string respondingTarget; ///< the target that answered
    std::string responseStamp; ///< borne by answers that a target made, and by no others
};

struct Dialect
{
    HeaderNames headers;

    /// True when the answer says that the target did not run the request and never will.
    std::function<bool(unsigned status, const http::fields &)> provesNotRun;

    /// A target's report of its load, when the answer carries one.
    std::function<std::optional<LoadReport>(const http::fields &)> loadReport;

    /// Reads and checks a whole configuration; fails with ErrorKind::badConfiguration.
    std::function<absl::StatusOr<ConfigurationDocument>(const std::string &text)> parseDocument;

    /// Reads what a target says of itself; fails with ErrorKind::badMessage.
    std::function<absl::StatusOr<TargetRecord>(const std::string &name, const std::string &body)>
        parseAnnouncement;

    /// Reads a target's word that it leaves; fails with ErrorKind::badMessage.
    std::function<absl::StatusOr<TargetRecord>(const std::string &name, const std::string &body)>
        parseDeparture;
};

/// The product's own names; whole documents are not part of it.
const Dialect &kumquatDialect();

} // namespace kumquat
