#pragma once
/// \file
/// Defines the settings of one process: its name, addresses, peers and files.
/// They are read from a JSON file with comments and checked as a whole.

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace kumquat {

/// Settings of `kumquat-entry`; addresses are `IP:PORT`.
struct EntrySettings
{
    std::string name;
    std::string failureDomain;
    std::string callerAddress;
    std::string internalAddress;
    std::string gossipAddress;
    std::vector<std::string> gossipPeers;
    std::vector<std::string> controlMembers;
    std::string clusterKeyFile;
    int threads = 2;
    int maxConnections = 4000; ///< of callers
    int stopGraceMs = 500; ///< between "not ready" and the closing of the listeners
};

struct ControlMember
{
    std::string name;
    std::string address;
};

/// Settings of `kumquat-control`.
struct ControlSettings
{
    std::string name;
    std::string failureDomain;
    std::string dataFolder;
    std::string listenAddress; ///< where it differs from its address in `members`
    std::vector<ControlMember> members; ///< this process included
    std::string clusterKeyFile;
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
