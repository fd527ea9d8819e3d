#include "kumquat/Configuration.h"

#include "common/JsonReader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace kumquat {

namespace {

const std::vector<std::string> policyNames { "smallest-estimate", "least-in-flight", "power-of-two",
                                             "round-robin", "random" };

bool isKnownPolicy(const std::string &name)
{
    return std::find(policyNames.begin(), policyNames.end(), name) != policyNames.end();
}

// Objects merge member by member, so that a later file can change a single limit of a service.
// A null removes the member; any other value replaces it.
void mergeInto(Json::Value &target, const Json::Value &source)
{
    for (const std::string &key : source.getMemberNames()) {
        const Json::Value &value = source[key];
        if (value.isNull()) {
            target.removeMember(key);
        } else if (value.isObject() && target.isMember(key) && target[key].isObject()) {
            mergeInto(target[key], value);
        } else {
            target[key] = value;
        }
    }
}

RequestKind readKind(JsonObject &object, JsonProblems &problems)
{
    const std::string name = object.text("kind", "idempotent");
    if (name == "idempotent") {
        return RequestKind::idempotent;
    }
    if (name == "once") {
        return RequestKind::once;
    }
    if (name == "upload") {
        return RequestKind::upload;
    }
    problems.add(object.pathOf("kind"), "is '" + name + "'", "write idempotent, once or upload");
    return RequestKind::idempotent;
}

Route readRoute(const Json::Value &value, const std::string &path, JsonProblems &problems)
{
    JsonObject object(value, path, problems);
    Route route;
    route.pathPrefix = object.text("pathPrefix");
    route.methods = object.texts("methods", false);
    route.kind = readKind(object, problems);
    if (!route.pathPrefix.empty() && route.pathPrefix[0] != '/') {
        problems.add(object.pathOf("pathPrefix"), "is '" + route.pathPrefix + "'",
                     "start it with a slash");
    }
    object.reportUnknownMembers();
    return route;
}

std::vector<Route> readRoutes(JsonObject &object, JsonProblems &problems)
{
    const Json::Value &list = object.member("routes");
    const std::string path = object.pathOf("routes");
    std::vector<Route> routes;
    if (!list.isArray() || list.empty()) {
        problems.add(path, "holds no route", "add at least one { \"pathPrefix\": ... }");
        return routes;
    }
    for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
        routes.push_back(readRoute(list[i], path + "/" + std::to_string(i), problems));
    }
    return routes;
}

RetryPolicy readRetry(JsonObject &service, JsonProblems &problems)
{
    RetryPolicy rules;
    const Json::Value &value = service.member("retry");
    if (value.isNull()) {
        return rules;
    }
    JsonObject object(value, service.pathOf("retry"), problems);
    rules.maxAttempts = static_cast<int>(object.integer("maxAttempts", 1, 10, rules.maxAttempts));
    rules.budget = object.number("budget", 0, 1, rules.budget);
    rules.hedgeAfter = object.milliseconds("hedgeAfterMs", Milliseconds(0), Milliseconds(60'000),
                                           rules.hedgeAfter);
    object.reportUnknownMembers();
    return rules;
}

Limits readLimits(JsonObject &service, JsonProblems &problems)
{
    Limits limits;
    const Json::Value &value = service.member("limits");
    if (value.isNull()) {
        return limits;
    }
    JsonObject object(value, service.pathOf("limits"), problems);
    limits.concurrency
        = static_cast<int>(object.integer("concurrency", 1, 1'000'000, limits.concurrency));
    limits.queue = static_cast<int>(object.integer("queue", 0, 1'000'000, limits.queue));
    limits.slotsFactor = object.number("slotsFactor", 0.1, 100, limits.slotsFactor);
    object.reportUnknownMembers();
    return limits;
}

Service readService(const std::string &name, const Json::Value &value, JsonProblems &problems)
{
    JsonObject object(value, "/services/" + name, problems);
    Service service;
    service.name = name;
    service.routes = readRoutes(object, problems);
    service.deadline = object.milliseconds("deadlineMs", Milliseconds(1), Milliseconds(3'600'000),
                                           service.deadline);
    service.uploadIdleTimeout = object.milliseconds(
        "uploadIdleTimeoutMs", Milliseconds(10), Milliseconds(600'000), service.uploadIdleTimeout);
    service.maxRequestBytes
        = object.integer("maxRequestBytes", 1, 64 * 1024 * 1024, service.maxRequestBytes);
    service.loadBalancingPolicy = object.text("chooser", service.loadBalancingPolicy);
    if (!isKnownPolicy(service.loadBalancingPolicy)) {
        problems.add(object.pathOf("chooser"), "is '" + service.loadBalancingPolicy + "'",
                     "write smallest-estimate, least-in-flight, power-of-two, round-robin or "
                     "random");
    }
    service.retry = readRetry(object, problems);
    service.limits = readLimits(object, problems);
    object.reportUnknownMembers();
    return service;
}

void checkRoutesDiffer(const Configuration &configuration, JsonProblems &problems)
{
    std::set<std::string> seen;
    for (const Service &service : configuration.services) {
        for (const Route &route : service.routes) {
            std::vector<std::string> methods = route.methods;
            if (methods.empty()) {
                methods.emplace_back("*");
            }
            for (const std::string &method : methods) {
                if (!seen.insert(method + " " + route.pathPrefix).second) {
                    problems.add("/services/" + service.name + "/routes",
                                 method + " " + route.pathPrefix + " is routed twice",
                                 "give it to one service only");
                }
            }
        }
    }
}

} // namespace

const char *requestKindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::idempotent:
        return "idempotent";
    case RequestKind::once:
        return "once";
    case RequestKind::upload:
        return "upload";
    case RequestKind::single:
        return "single";
    }
    return "unknown";
}

absl::StatusOr<Configuration> parseConfiguration(std::vector<ConfigurationFile> files)
{
    std::sort(files.begin(), files.end(),
              [](const auto &left, const auto &right) { return left.name < right.name; });
    Json::Value merged(Json::objectValue);
    for (const ConfigurationFile &file : files) {
        const auto value
            = parseJson(file.name, file.content, ErrorKind::badConfiguration, JsonSyntax::lenient);
        if (!value.ok()) {
            return value.status();
        }
        if (!value->isObject()) {
            return makeError(ErrorKind::badConfiguration, file.name + ": is not an object",
                             "write { \"services\": { ... } }");
        }
        mergeInto(merged, *value);
    }
    JsonProblems problems("merged configuration");
    JsonObject root(merged, "", problems);
    Configuration configuration;
    const Json::Value &services = root.member("services");
    if (services.isObject()) {
        for (const std::string &name : services.getMemberNames()) {
            configuration.services.push_back(readService(name, services[name], problems));
        }
    } else if (!services.isNull()) {
        problems.add("/services", "is not an object", "write { \"name\": { ... } }");
    }
    configuration.probesPerSecond
        = root.number("probesPerSecond", 0, 10'000, configuration.probesPerSecond);
    configuration.ejectedShare = root.number("ejectedShare", 0, 1, configuration.ejectedShare);
    root.reportUnknownMembers();
    checkRoutesDiffer(configuration, problems);
    const absl::Status status = problems.status(ErrorKind::badConfiguration);
    if (!status.ok()) {
        return status;
    }
    return configuration;
}

absl::StatusOr<std::vector<ConfigurationFile>> readConfigurationFolder(const std::string &folder)
{
    std::vector<ConfigurationFile> files;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(folder, error)) {
        if (entry.path().extension() != ".json") {
            continue;
        }
        std::ifstream stream(entry.path());
        std::ostringstream content;
        content << stream.rdbuf();
        files.push_back({ entry.path().filename().string(), content.str() });
    }
    if (error) {
        return makeError(ErrorKind::badConfiguration,
                         "cannot read folder " + folder + ": " + error.message(),
                         "name a folder of *.json files");
    }
    return files;
}

} // namespace kumquat
