#pragma once
/// \file
/// Defines what operators configure: services, their routes, retry rules and limits.
/// It is written as a folder of small JSON files that are merged in the order of their names.

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

/// How often a request may run.
enum class RequestKind {
    idempotent, ///< may be retried and hedged
    once, ///< at most once, under an idempotency key
    upload, ///< streamed through, sent to one target
    single, ///< at most once for each sending, without a key; sent again only if proved not run
};

const char *requestKindName(RequestKind kind);

/// Requests whose path starts with `pathPrefix` and whose method is listed (any, when none is).
struct Route
{
    std::string pathPrefix;
    std::vector<std::string> methods;
    RequestKind kind = RequestKind::idempotent;
};

struct RetryPolicy
{
    int maxAttempts = 3; ///< per request, the first included
    double budget = 0.2; ///< retries and hedges as a share of the service's requests
    std::chrono::milliseconds hedgeAfter { 0 }; ///< 0: never hedge
};

struct Limits
{
    int concurrency = 256; ///< requests of the service in one entry, waiting ones included
    int queue = 64; ///< requests that may wait for a target in one entry
    double slotsFactor = 2.0; ///< one entry's requests in flight at a target, per slot of it
};

/// Times for which a connection of a caller is kept, and the most that it may send.
struct CallerLimits
{
    std::int64_t maxHeaderBytes = 16'384;
    std::int64_t maxBodyBytes = 67'108'864;
    std::chrono::milliseconds headerTimeout { 10'000 };
    std::chrono::milliseconds idleTimeout { 60'000 };
};

/// One service among which a route's requests are split, by weight.
struct Destination
{
    std::string service;
    std::int32_t weight = 1;
};

/// Requests to `hostname` whose path starts with `pathPrefix`; the longest prefix wins.
struct HostRoute
{
    std::string name;
    std::string hostname;
    std::string pathPrefix;
    RequestKind kind = RequestKind::single;
    std::vector<Destination> destinations;
    int maxAttempts = 1; ///< targets that may run one sending
    std::chrono::milliseconds timeout { 2'000 }; ///< the longest time to an answer
    std::chrono::milliseconds latencyObjective { 1'000 };
    int priority = 0; ///< 0 is the highest
};

struct Service
{
    std::string name;
    std::vector<Route> routes;
    std::chrono::milliseconds deadline { 2'000 };
    std::chrono::milliseconds uploadIdleTimeout { 10'000 };
    std::int64_t maxRequestBytes = 1'048'576; ///< of requests that are not uploads
    std::string loadBalancingPolicy = "smallest-estimate";
    std::string healthPath = "/health";
    int maxConnections = 250; ///< of one target, from all entries together
    RetryPolicy retry;
    Limits limits;
};

struct Configuration
{
    std::vector<Service> services;
    std::vector<HostRoute> hostRoutes;
    CallerLimits callerLimits;
    double probesPerSecond = 5; ///< the most that one entry instance may send
    double ejectedShare = 0.34; ///< the most of a service's targets that may be ejected
};

/// A whole configuration under a version of its own; the highest version is in force.
struct ConfigurationDocument
{
    std::uint64_t version = 0;
    Configuration configuration;
};

struct ConfigurationFile
{
    std::string name;
    std::string content;
};

/// Merges the files in the order of their names and checks the whole.
/// Fails with ErrorKind::badConfiguration and lists every problem.
absl::StatusOr<Configuration> parseConfiguration(std::vector<ConfigurationFile> files);

/// Reads the `*.json` files of a folder; fails with ErrorKind::badConfiguration.
absl::StatusOr<std::vector<ConfigurationFile>> readConfigurationFolder(const std::string &folder);

} // namespace kumquat
