#pragma once
/// \file
/// Defines the entry, the proxy that forwards requests of callers to targets.
/// A daemon builds one, runs it and stops it; tests can run several in one process.

#include "kumquat/Settings.h"

#include <memory>

namespace kumquat {

struct Dialect;

/// An entry with open sockets, ready to run.
class EntryProcess
{
public:
    virtual ~EntryProcess() = default;

    /// Serves until a graceful shutdown is complete. Requests in flight are completed, unless they
    /// take longer than EntrySettings::stopLimitMs.
    virtual void run() = 0;

    /// Starts a graceful shutdown and returns at once. Thread-safe.
    virtual void stop() = 0;
};

/// Collects the options of an EntryProcess and creates it.
class EntryProcessBuilder
{
public:
    EntryProcessBuilder &settings(EntrySettings settings);
    /// A settings file that is watched while the process runs: changed seeds and a changed retry
    /// budget take effect without a restart. Optional.
    EntryProcessBuilder &settingsFile(std::string file);
    /// The key that authenticates messages between processes; empty: they are not signed.
    EntryProcessBuilder &clusterKey(std::string key);
    /// The protocol to speak; kumquatDialect() by default. It must outlive the process.
    EntryProcessBuilder &dialect(const Dialect &dialect);

    /// Opens the listening sockets; fails with ErrorKind::badSettings.
    absl::StatusOr<std::unique_ptr<EntryProcess>> build();

private:
    EntrySettings settings_;
    std::string key_;
    std::string file_;
    const Dialect *dialect_ = nullptr;
};

} // namespace kumquat
