#pragma once
/// \file
/// Defines the entry: callers' requests in, answers of targets out.
/// A daemon builds one, runs it and asks it to stop; tests may do the same in one process.

#include "kumquat/Settings.h"

#include <memory>

namespace kumquat {

struct Dialect;

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
    /// The file to follow for changes of the seeds; none unless named.
    EntryProcessBuilder &settingsFile(std::string file);
    EntryProcessBuilder &clusterKey(std::string key);
    /// The names on the wire; the product's own unless said otherwise. It must outlive the process.
    EntryProcessBuilder &dialect(const Dialect &dialect);

    /// Opens the process's sockets; fails with ErrorKind::badSettings.
    absl::StatusOr<std::unique_ptr<EntryProcess>> build();

private:
    EntrySettings settings_;
    std::string key_;
    std::string file_;
    const Dialect *dialect_ = nullptr;
};

} // namespace kumquat
