#include "protocol/Dialect.h"

#include "kumquat/Error.h"
#include "protocol/Announcement.h"
#include "protocol/Wire.h"

namespace kumquat {

std::vector<std::string> endToEndHeaders(const HeaderNames &names)
{
    std::vector<std::string> headers;
    for (const std::string &name : { names.deadline, names.requestId, names.expectedTarget,
                                     names.respondingTarget, names.responseStamp }) {
        if (!name.empty()) {
            headers.push_back(name);
        }
    }
    return headers;
}

const Dialect &kumquatDialect()
{
    static const Dialect dialect = [] {
        Dialect kumquat;
        kumquat.headers.deadline = wire::deadline;
        kumquat.provesNotRun = isShed;
        kumquat.loadReport = readLoadReport;
        kumquat.saysLeaving = [](const http::fields &) { return false; };
        kumquat.requestedRest
            = [](unsigned, const http::fields &) { return std::optional<Milliseconds>(); };
        kumquat.remainingWarmup
            = [](const http::fields &) { return std::optional<Milliseconds>(); };
        kumquat.parseDocument = [](const std::string &, DocumentOrigin) {
            return makeError(ErrorKind::badConfiguration, "this dialect has no whole documents",
                             "apply a folder with kumquatctl");
        };
        kumquat.parseAnnouncement = parseAnnouncement;
        kumquat.parseDeparture = parseAnnouncement;
        return kumquat;
    }();
    return dialect;
}

} // namespace kumquat
