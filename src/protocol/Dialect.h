#pragma once
/// \file
/// Defines the header names and formats that callers, targets and operators use on the wire.
/// The `kumquat` dialect is built in; an adapter for another platform supplies its own.

#include "kumquat/Configuration.h"
#include "kumquat/TargetRecord.h"
#include "protocol/Headers.h"

namespace kumquat {

/// Names of headers; an empty name means that the dialect has no such header.
struct HeaderNames
{
    std::string deadline; ///< milliseconds that the caller still waits for the response
    std::string requestId; ///< identifies one sending of a request by its caller; targets echo it
    std::string expectedTarget; ///< the target a request is meant for; any other target refuses it
    std::string respondingTarget; ///< the target that responded
    std::string responseStamp; ///< present only in responses that a target produced
    std::string leaving; ///< in all responses of a target that leaves; meant for entries only
    std::string apiKey; ///< identifies the caller's organisation to entries; never forwarded
    std::string organisation; ///< names the caller's organisation to targets
};

/// Where the text of a document comes from.
enum class DocumentOrigin {
    received, ///< from an operator: it is refused unless it is valid
    confirmed, ///< from the group, perhaps confirmed by an earlier version that checked less
};

/// The headers that are passed on whatever a `Connection` header says.
std::vector<std::string> endToEndHeaders(const HeaderNames &names);

struct Dialect
{
    HeaderNames headers;

    /// True when the response proves that the target did not run the request and never will.
    std::function<bool(unsigned status, const http::fields &)> provesNotRun;

    /// Reads a target's load report, when the response carries one.
    std::function<std::optional<LoadReport>(const http::fields &)> loadReport;

    /// True when the response says that its target leaves.
    std::function<bool(const http::fields &)> saysLeaving;

    /// Reads for how long a target asks to get no requests; nothing when it does not ask.
    std::function<std::optional<Milliseconds>(unsigned status, const http::fields &)> requestedRest;

    /// Reads for how long a target stays cold; nothing when the response does not say.
    std::function<std::optional<Milliseconds>(const http::fields &)> remainingWarmup;

    /// Reads and checks a whole configuration; fails with ErrorKind::badConfiguration.
    std::function<absl::StatusOr<ConfigurationDocument>(const std::string &text,
                                                        DocumentOrigin origin)>
        parseDocument;

    /// Reads a target's announcement of itself; fails with ErrorKind::badMessage.
    std::function<absl::StatusOr<TargetRecord>(const std::string &name, const std::string &body)>
        parseAnnouncement;

    /// Reads a target's announcement that it leaves; fails with ErrorKind::badMessage.
    std::function<absl::StatusOr<TargetRecord>(const std::string &name, const std::string &body)>
        parseDeparture;
};

/// The built-in dialect; it has no whole documents.
const Dialect &kumquatDialect();

} // namespace kumquat
