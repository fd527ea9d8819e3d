#pragma once
/// \file
/// Defines the settings of one process: its name, addresses, peers and files.
/// They are read from a JSON file with comments and checked as a whole.

#include <absl/status/statusor.h>
#include <chrono>
#include <string>
#include <vector>

namespace kumquat {

/// How far requests of a service may be sent again, over all entries together.
struct SharedRetryBudget
{
    double ratio = 0.2; ///< of the requests in the window
    int slack = 20; ///< beyond the ratio, in each window
    int windowMs = 10'000;
};

/// Settings of `kumquat-entry`; addresses are `IP:PORT`.
struct EntrySettings
{
    std::string dialect = "kumquat"; ///< the names on the wire
    std::string name;
    std::string failureDomain;
    std::string callerAddress;
    std::string internalAddress;
    std::string gossipAddress;
    std::vector<std::string> gossipPeers;
    std::vector<std::string> controlMembers;
    /// Some members of the control group, which tell of the others and of the targets; in the
    /// place of `gossipAddress`, `gossipPeers` and `controlMembers`.
    std::vector<std::string> controlSeeds;
    std::string metricsAddress; ///< for metrics, besides `internalAddress`; may be empty
    std::string reportAddress; ///< for datagrams between entries about targets' load; may be empty
    std::string clusterKeyFile; ///< empty: messages between processes are not signed
    SharedRetryBudget retryBudget;
    int threads = 2;
    int maxConnections = 4000; ///< of callers
    int stopGraceMs = 500; ///< between "not ready" and the closing of the listeners
    int stopLimitMs = 600'000; ///< after it a planned stop ends whatever still runs
};

struct ControlMember
{
    std::string name;
    std::string address;
};

/// Settings of `kumquat-control`.
struct ControlSettings
{
    std::string dialect = "kumquat"; ///< the names on the wire
    std::string name;
    std::string failureDomain;
    std::string dataFolder;
    std::string listenAddress; ///< where it differs from its address in `members`
    std::vector<ControlMember> members; ///< this process included
    /// Some members, from which the others are learned; in the place of `members`.
    std::vector<std::string> seeds;
    bool firstStart = false; ///< the whole system starts for the first time; seeds found the group
    int toleratedLosses = 1; ///< disks that may be lost at once; twice as many and one more vote
    std::string metricsAddress; ///< where metrics are served besides the member's; may be empty
    std::chrono::milliseconds heartbeat { 1'500 }; ///< between two announcements of a target
    std::string clusterKeyFile; ///< empty: messages between processes are not signed
    int maxOnceRecords = 200'000;
    int onceRetentionSeconds = 86'400;
    int snapshotEveryEntries = 20'000;
};

/// Read \p file; fail with ErrorKind::badSettings and list every problem.
absl::StatusOr<EntrySettings> readEntrySettings(const std::string &file);
absl::StatusOr<ControlSettings> readControlSettings(const std::string &file);
absl::StatusOr<EntrySettings> parseEntrySettings(const std::string &file, const std::string &text);
absl::StatusOr<ControlSettings> parseControlSettings(const std::string &file,
                                                     const std::string &text);

/// The key in \p file, without surrounding white space; fails with ErrorKind::badSettings.
absl::StatusOr<std::string> readClusterKey(const std::string &file);

} // namespace kumquat
