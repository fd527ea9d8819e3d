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
};

const char *requestKindName(RequestKind kind);

/// Requests whose path starts with `pathPrefix` and whose method is listed (any, when none is).
struct Route
{
    std::string pathPrefix;
    std::vector<std::string> methods;
    RequestKind kind = RequestKind::idempotent;
};

struct RetryRules
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

struct Service
{
    std::string name;
    std::vector<Route> routes;
    std::chrono::milliseconds deadline { 2'000 };
    std::chrono::milliseconds uploadIdleTimeout { 10'000 };
    std::int64_t maxRequestBytes = 1'048'576; ///< of requests that are not uploads
    std::string chooser = "smallest-estimate";
    RetryRules retry;
    Limits limits;
};

struct Configuration
{
    std::vector<Service> services;
    double probesPerSecond = 5; ///< the most that one entry instance may send
    double ejectedShare = 0.34; ///< the most of a service's targets that may be ejected
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
