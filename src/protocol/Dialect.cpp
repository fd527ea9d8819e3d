#include "protocol/Dialect.h"

#include "kumquat/Error.h"
#include "protocol/Announcement.h"
#include "protocol/Wire.h"

namespace kumquat {

const Dialect &productDialect()
{
    static const Dialect dialect = [] {
        Dialect names;
        names.headers.deadline = wire::deadline;
        names.provesNotRun = isShed;
        names.loadReport = readLoadReport;
        names.parseDocument = [](const std::string &) {
            return makeError(ErrorKind::badConfiguration, "whole documents are not taken here",
                             "apply a folder with kumquatctl");
        };
        names.parseAnnouncement = parseAnnouncement;
        names.parseDeparture = parseAnnouncement;
        return names;
    }();
    return dialect;
}

} // namespace kumquat
