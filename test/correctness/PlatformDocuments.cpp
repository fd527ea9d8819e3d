// A document of the platform is read as a whole, or rejected with the location of each problem.
#include "TestSupport.h"
#include "common/Duration.h"
#include "platform/Dialect.h"

#include <json/json.h>

using namespace kumquat;

namespace {

const char *const validDocument = R"({"Version":"0000001c",
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15s"},
 "Listeners":[{"Hostname":"a.example","Rules":[
   {"Name":"r1","RouteType":"safe","TargetLatency":"400ms","Priority":2,"Match":{"PathPrefix":"/p/"},
    "Action":{"TrafficSplit":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],
              "Timeout":"1.2s","Attempts":2}},
   {"Name":"r2","RouteType":"upload","TargetLatency":"500ms","Priority":1,"Match":{"PathPrefix":"/q/"},
    "Action":{"Service":"s2","Timeout":"1500ms","Attempts":1}}]}],
 "Clusters":[{"Name":"s1","HealthPath":"/health","MaxConnections":260,"Protocol":"h1","Tls":false},
             {"Name":"s2","HealthPath":"/h","MaxConnections":200,"Protocol":"h1","Tls":false}]})";

/// The valid document with the first \p from replaced by \p to.
std::string withReplacement(const std::string &from, const std::string &to)
{
    std::string text = validDocument;
    const std::size_t at = text.find(from);
    CHECK_TRUE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

void checkRejected(const std::string &text, const std::string &expectedText)
{
    const auto document = platform::parseDocument(text);
    CHECK_FALSE(document.ok());
    STRCMP_CONTAINS(expectedText.c_str(), std::string(document.status().message()).c_str());
}

} // namespace

TEST_GROUP(PlatformDocuments) {};

TEST(PlatformDocuments, aValidDocumentIsReadIntoRoutesAndServices)
{
    const auto document = platform::parseDocument(validDocument);
    CHECK_TRUE(document.ok());
    LONGS_EQUAL(0x1c, document->version);
    const Configuration &configuration = document->configuration;
    LONGS_EQUAL(2, configuration.hostRoutes.size());
    const HostRoute &first = configuration.hostRoutes[0];
    CHECK_TRUE(first.kind == RequestKind::idempotent);
    LONGS_EQUAL(1'200, first.timeout.count());
    LONGS_EQUAL(90, first.destinations[0].weight);
    CHECK_TRUE(configuration.hostRoutes[1].kind == RequestKind::single);
    LONGS_EQUAL(15'000, configuration.callerLimits.idleTimeout.count());
    STRCMP_EQUAL("/h", configuration.services[1].healthPath.c_str());
}

TEST(PlatformDocuments, invalidDocumentsAreRejectedWithTheirProblem)
{
    checkRejected(std::string(validDocument).substr(0, 300), "document");
    checkRejected(withReplacement("\"Service\":\"s1\"", "\"Service\":\"s9\""), "s9");
    checkRejected(withReplacement("/q/", "/p/"), "routed twice");
    checkRejected(withReplacement("\"400ms\"", "\"61200ms\""), "TargetLatency");
    checkRejected(withReplacement("\"Attempts\":2", "\"Attempts\":0"), "Attempts");
    checkRejected(withReplacement("a.example", ""), "Hostname");
    checkRejected(withReplacement("\"safe\"", "\"odd\""), "RouteType");
    checkRejected(withReplacement("0000001c", "1c"), "Version");
    checkRejected(withReplacement("\"1.2s\"", "7"), "Timeout");
    checkRejected(withReplacement("\"1.2s\"", "\"0ms\""), "Timeout");
    checkRejected(withReplacement("\"Weight\":90", "\"Weight\":\"90\""), "Weight");
    checkRejected(std::string(validDocument) + "x", "document");
}

TEST(PlatformDocuments, anObjectiveLessThanAMinuteAboveTheTimeoutIsValid)
{
    CHECK_TRUE(platform::parseDocument(withReplacement("\"400ms\"", "\"61199ms\"")).ok());
}

TEST(PlatformDocuments, durationsHaveANumberAndAUnit)
{
    LONGS_EQUAL(1'500, parseDuration("1500ms")->count());
    LONGS_EQUAL(2'500, parseDuration("2.5s")->count());
    for (const char *text : { "", "5", "ms", "1m", "1.2.3s", "-1s" }) {
        CHECK_FALSE(parseDuration(text).has_value());
    }
}
