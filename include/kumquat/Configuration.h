#pragma once
/// \file
/// Defines the configuration that operators write: services, routes, retry policies and limits.
/// It comes as one document or as a folder of JSON files, merged in the order of their names.

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquat {

/// How often targets may run a request, and how it reaches them.
enum class RequestKind {
    idempotent, ///< may run more than once: retried and hedged
    once, ///< run at most once, identified by an idempotency key
    upload, ///< body streamed to a single target
    single, ///< at most once, without a key; retried only after proof that it was not run
};

const char *requestKindName(RequestKind kind);

/// Matches requests by path prefix and method. An empty list of methods matches every method.
struct Route
{
    std::string pathPrefix;
    std::vector<std::string> methods;
    RequestKind kind = RequestKind::idempotent;
};

struct RetryPolicy
{
    int maxAttempts = 3; ///< per request, including the first
    double budget = 0.2; ///< most retries and hedges, as a fraction of the service's requests
    std::chrono::milliseconds hedgeAfter { 0 }; ///< before a hedge; 0: from the mean service time
};

/// Limits of one service.
struct Limits
{
    int concurrency = 256; ///< requests in one entry, running and queued
    int queue = 64; ///< requests queued for a target in one entry
    double slotsFactor = 2.0; ///< requests in flight per slot of a target, from all entries
};

/// Limits on callers' connections and on the requests that they carry.
struct CallerLimits
{
    std::int64_t maxHeaderBytes = 16'384;
    std::int64_t maxBodyBytes = 67'108'864;
    std::chrono::milliseconds headerTimeout { 10'000 }; ///< to receive a whole header
    std::chrono::milliseconds idleTimeout { 60'000 }; ///< between two requests
};

/// A service that receives a share of a route's requests, proportional to its weight.
struct Destination
{
    std::string service;
    std::int32_t weight = 1;
};

/// Matches requests by host name and path prefix; the longest matching prefix wins.
struct HostRoute
{
    std::string name;
    std::string hostname;
    std::string pathPrefix;
    RequestKind kind = RequestKind::single;
    std::vector<Destination> destinations;
    int maxAttempts = 1; ///< attempts per request that may have run; others are not counted
    std::chrono::milliseconds timeout { 2'000 }; ///< from arrival to the response
    std::chrono::milliseconds latencyObjective { 1'000 }; ///< the response should take no longer
    int priority = 0; ///< 0 is the highest
    bool isBulk = false; ///< its responses are large
    bool allowsAnonymous = false; ///< serves callers without a key, too
};

/// An organisation, whose callers identify themselves by keys.
struct Organisation
{
    std::string name;
    std::vector<std::string> apiKeys;
    int priority = 0; ///< 0 is the highest; compared before the priority of routes
    double requestsPerSecond = 0; ///< of its quota, over all entries; 0: no quota
    double burst = 0; ///< requests on top of the rate
};

struct Service
{
    std::string name;
    std::vector<Route> routes;
    std::chrono::milliseconds deadline { 2'000 };
    std::chrono::milliseconds uploadIdleTimeout { 10'000 };
    std::int64_t maxRequestBytes = 1'048'576; ///< size of a body; uploads are not limited
    std::string loadBalancingPolicy = "smallest-estimate"; ///< key `chooser`
    std::string healthPath = "/health";
    int maxConnections = 250; ///< to one target, from all entries together
    std::chrono::milliseconds warmup { 0 }; ///< a target is cold for so long after its start
    double warmupRequestsPerSecond = 0; ///< to a cold target, from all entries; 0: no limit
    RetryPolicy retry;
    Limits limits;
};

struct Configuration
{
    std::vector<Service> services;
    std::vector<HostRoute> hostRoutes;
    std::vector<Organisation> organisations; ///< if any, callers must identify themselves
    CallerLimits callerLimits;
    double probesPerSecond = 5; ///< most health probes that one entry sends
    double ejectedShare = 0.34; ///< largest fraction of a service's targets to eject
};

/// A complete configuration with its version. The highest version is in force.
struct ConfigurationDocument
{
    std::uint64_t version = 0;
    Configuration configuration;
};

/// One file of the configuration folder.
struct ConfigurationFile
{
    std::string name;
    std::string content;
};

/// Merges the files in the order of their names and validates the result. Their bytes have been
/// checked before they were confirmed, by checkWrites().
/// Fails with ErrorKind::badConfiguration: on the first file that is not a JSON object, else with
/// all problems of the merged configuration.
absl::StatusOr<Configuration> parseConfiguration(std::vector<ConfigurationFile> files);

/// Reads the `*.json` files of a folder; fails with ErrorKind::badConfiguration.
absl::StatusOr<std::vector<ConfigurationFile>> readConfigurationFolder(const std::string &folder);

} // namespace kumquat
