#pragma once
/// \file
/// Defines the settings of one process: its name, addresses, peers and files.
/// They are read from a JSON file, which may contain comments; all errors are reported together.

#include <absl/status/statusor.h>
#include <chrono>
#include <string>
#include <vector>

namespace kumquat {

/// The retry budget of each service, shared by all entries: retries and hedges in any window may
/// not exceed `ratio` times the requests plus `slack`.
struct SharedRetryBudget
{
    double ratio = 0.2; ///< retries per request
    int slack = 20; ///< retries per window on top of the ratio
    int windowMs = 10'000; ///< not used: the budget is kept for windows of any length
};

/// Settings of `kumquat-entry`. Addresses have the form `IP:PORT`.
struct EntrySettings
{
    std::string dialect = "kumquat"; ///< protocol spoken with callers, targets and operators
    std::string name;
    std::string failureDomain;
    std::string callerAddress; ///< accepts requests of callers
    std::string internalAddress; ///< serves status, metrics and announcements of targets
    std::string gossipAddress; ///< UDP
    std::vector<std::string> gossipPeers; ///< `gossipAddress` of other entries
    std::vector<std::string> controlMembers;
    /// Some members of the control group, from which the entry learns the other members and the
    /// targets. Replaces `gossipAddress`, `gossipPeers` and `controlMembers`.
    std::vector<std::string> controlSeeds;
    std::string metricsAddress; ///< additional address that serves metrics; may be empty
    std::string reportAddress; ///< UDP, to exchange load reports between entries; may be empty
    std::string clusterKeyFile; ///< empty: messages between processes are not signed
    SharedRetryBudget retryBudget;
    int threads = 2;
    int maxConnections = 4000; ///< connections of callers, over all threads
    int memoryLimitMb = 512; ///< memory that the process may use; at most the instance's is assumed
    double linkMbps = 0; ///< bandwidth of the instance's link; 0: unknown
    int stopGraceMs = 500; ///< from reporting "not ready" until the listeners close
    int stopLimitMs = 600'000; ///< then a shutdown aborts the requests that still run
};

/// A member of the control group.
struct ControlMember
{
    std::string name;
    std::string address;
};

/// Settings of `kumquat-control`.
struct ControlSettings
{
    std::string dialect = "kumquat"; ///< protocol spoken with targets and operators
    std::string name;
    std::string failureDomain;
    std::string dataFolder;
    std::string listenAddress; ///< empty: this member's address in `members`
    std::vector<ControlMember> members; ///< all members, including this one
    /// Addresses of some members, from which this one learns the others. Replaces `members`.
    std::vector<std::string> seeds;
    bool firstStart = false; ///< first start of the whole system: the seeds create the group
    int toleratedLosses = 1; ///< disks that may be lost at once: 2 * n + 1 members vote
    std::string metricsAddress; ///< additional address that serves metrics; may be empty
    std::chrono::milliseconds heartbeat { 1'500 }; ///< interval between a target's announcements
    std::string clusterKeyFile; ///< empty: messages between processes are not signed
    int maxOnceRecords = 200'000; ///< records of `once` requests
    int onceRetentionSeconds = 86'400; ///< for records of `once` requests
    int snapshotEveryEntries = 20'000; ///< entries of the Raft log between two snapshots
};

/// Read or parse the settings in \p file. They fail with ErrorKind::badSettings; the message lists
/// every problem.
absl::StatusOr<EntrySettings> readEntrySettings(const std::string &file);
absl::StatusOr<ControlSettings> readControlSettings(const std::string &file);
absl::StatusOr<EntrySettings> parseEntrySettings(const std::string &file, const std::string &text);
absl::StatusOr<ControlSettings> parseControlSettings(const std::string &file,
                                                     const std::string &text);

/// The key in \p file without surrounding white space; empty when \p file is empty.
/// Fails with ErrorKind::badSettings when it cannot be read or is too short.
absl::StatusOr<std::string> readClusterKey(const std::string &file);

} // namespace kumquat
