#pragma once
/// \file
/// Defines a member of the control group, which replicates the durable state of the system.
/// That state is the configuration and the records of `once` requests.

#include "kumquat/Settings.h"

#include <memory>

namespace kumquat {

struct Dialect;

/// A member of the control group, ready to run.
class ControlProcess
{
public:
    virtual ~ControlProcess() = default;

    /// Serves until a graceful shutdown is complete. A leader first transfers its leadership.
    virtual void run() = 0;

    /// Starts a graceful shutdown and returns at once. Thread-safe.
    virtual void stop() = 0;
};

/// Collects the options of a ControlProcess and creates it.
class ControlProcessBuilder
{
public:
    ControlProcessBuilder &settings(ControlSettings settings);
    /// A settings file that is watched while the process runs: changed seeds take effect without a
    /// restart. Optional.
    ControlProcessBuilder &settingsFile(std::string file);
    /// The key that authenticates messages between processes; empty: they are not signed.
    ControlProcessBuilder &clusterKey(std::string key);
    /// The protocol to speak; kumquatDialect() by default. It must outlive the process.
    ControlProcessBuilder &dialect(const Dialect &dialect);

    /// Reads the data folder and opens the listening sockets.
    absl::StatusOr<std::unique_ptr<ControlProcess>> build();

private:
    ControlSettings settings_;
    std::string key_;
    std::string file_;
    const Dialect *dialect_ = nullptr;
};

} // namespace kumquat
