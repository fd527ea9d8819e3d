// An explanation joins the log lines about one request with the earlier events of its process and
// its targets, and derives the cause of the failure.
#include "TestSupport.h"
#include "common/Explanation.h"

#include <absl/strings/match.h>

using namespace kumquat;

namespace {

const std::vector<std::string> logLines {
    R"({"time":"10:00:04","level":"info","process":"e1","event":332,"request":"r1","route":"a",)"
    R"("reason":"target-failed","run":"unknown","sendings":"2"})",
    R"(  3.1 e1 {"time":"10:00:01","level":"info","process":"e1","event":200,"version":"1.7"})",
    R"({"time":"10:00:02","level":"info","process":"e1","event":301,"target":"t1","state":"draining"})",
    R"({"time":"10:00:02","level":"info","process":"e2","event":300,"target":"t1","state":"ready"})",
    R"({"time":"10:00:03","level":"info","process":"e1","event":331,"request":"r1","target":"t1",)"
    R"("end":"broken"})",
    R"({"time":"10:00:05","level":"info","process":"e1","event":330,"request":"r2",)"
    R"("reason":"overloaded","run":"no"})",
    R"({"time":"10:00:09","level":"info","process":"e1","event":203,"member":"c1"})",
    "not a line of a log {",
    "",
};

} // namespace

TEST_GROUP(RequestsExplained)
{
    std::vector<LogRecord> records = parseLogRecords(logLines);
};

TEST(RequestsExplained, linesOfOneRequestAreSortedByTime)
{
    const Explanation explanation = explainRequest(records, "r1");
    CHECK_TRUE(explanation.found);
    LONGS_EQUAL(2, explanation.requestLines.size());
    LONGS_EQUAL(331, explanation.requestLines[0].event);
    LONGS_EQUAL(332, explanation.requestLines[1].event);
}

TEST(RequestsExplained, targetLinesComeFromTheSameProcess)
{
    const Explanation explanation = explainRequest(records, "r1");
    LONGS_EQUAL(1, explanation.targetLines.size());
    STRCMP_EQUAL("e1", explanation.targetLines[0].process.c_str());
    STRCMP_EQUAL("draining", explanation.targetLines[0].value("state").c_str());
}

TEST(RequestsExplained, onlyEarlierEventsOfTheProcessAreShown)
{
    const Explanation explanation = explainRequest(records, "r1");
    LONGS_EQUAL(1, explanation.processLines.size());
    LONGS_EQUAL(200, explanation.processLines[0].event);
}

TEST(RequestsExplained, theCauseFollowsFromTheReason)
{
    CHECK_TRUE(absl::StrContains(explainRequest(records, "r1").cause, "whether it ran is unknown"));
    CHECK_TRUE(absl::StrContains(explainRequest(records, "r2").cause, "it has not run"));
}

TEST(RequestsExplained, aRequestWithoutResponseHasTheCauseOfItsConnection)
{
    const std::vector<LogRecord> lines = parseLogRecords(
        { R"({"time":"t","process":"e","event":333,"request":"r4","cause":"caller-reset"})" });
    CHECK_TRUE(absl::StrContains(explainRequest(lines, "r4").cause, "reset its connection"));
}

TEST(RequestsExplained, aRequestWithoutLinesIsReportedAsNotFound)
{
    const Explanation explanation = explainRequest(records, "r3");
    CHECK_FALSE(explanation.found);
    CHECK_TRUE(absl::StrContains(explanationText(explanation), "no line names this request"));
}
