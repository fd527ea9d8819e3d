#pragma once
/// \file
/// Defines the entry: callers' requests in, answers of targets out.
/// A daemon builds one, runs it and asks it to stop; tests may do the same in one process.

#include "kumquat/Settings.h"

#include <memory>

namespace kumquat {

class EntryProcess
{
public:
    virtual ~EntryProcess() = default;

    /// Serves until a planned stop has ended; a stop cuts no request.
    virtual void run() = 0;

    /// Begins a planned stop; may be called from any thread.
    virtual void stop() = 0;
};

class EntryProcessBuilder
{
public:
    EntryProcessBuilder &settings(EntrySettings settings);
    EntryProcessBuilder &clusterKey(std::string key);

    /// Opens the process's sockets; fails with ErrorKind::badSettings.
    absl::StatusOr<std::unique_ptr<EntryProcess>> build();

private:
    EntrySettings settings_;
    std::string key_;
};

} // namespace kumquat
