#pragma once
/// \file
/// Defines the names of HTTP headers and paths that callers, targets and operators use.
/// They are stable and documented in docs/OPERATORS.md.

namespace kumquat::wire {

constexpr char idempotencyKey[] = "Idempotency-Key";
constexpr char deadline[] = "Kumquat-Deadline-Ms";
constexpr char attempt[] = "Kumquat-Attempt";
constexpr char outcome[] = "Kumquat-Outcome";
constexpr char reason[] = "Kumquat-Reason";
constexpr char load[] = "Kumquat-Load";
constexpr char shed[] = "Kumquat-Shed";
constexpr char passedOn[] = "Kumquat-Passed-On";

constexpr char targetsPath[] = "/kumquat/v1/targets/";
constexpr char readyPath[] = "/kumquat/v1/ready";
constexpr char dumpPath[] = "/kumquat/v1/dump";
constexpr char metricsPath[] = "/kumquat/v1/metrics";
constexpr char rpcPath[] = "/kumquat/v1/rpc";
constexpr char raftPath[] = "/kumquat/v1/raft";
constexpr char oncePath[] = "/kumquat/v1/once";
constexpr char configurationPath[] = "/kumquat/v1/configuration";
constexpr char filesPath[] = "/kumquat/v1/files";
constexpr char feedPath[] = "/kumquat/v1/feed";
constexpr char documentPath[] = "/kumquat/v1/document";
constexpr char evacuationsPath[] = "/kumquat/v1/evacuations/";

} // namespace kumquat::wire
