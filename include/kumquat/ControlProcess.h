#pragma once
/// \file
/// Defines a member of the control group: the replicated, durable state of the system.
/// It holds the configuration and the records of once-requests.

#include "kumquat/Settings.h"

#include <memory>

namespace kumquat {

struct Dialect;

class ControlProcess
{
public:
    virtual ~ControlProcess() = default;

    /// Serves until a planned stop has ended; a leader hands over first.
    virtual void run() = 0;

    /// Begins a planned stop; may be called from any thread.
    virtual void stop() = 0;
};

class ControlProcessBuilder
{
public:
    ControlProcessBuilder &settings(ControlSettings settings);
    /// The file to follow for changes of the seeds; none unless named.
    ControlProcessBuilder &settingsFile(std::string file);
    ControlProcessBuilder &clusterKey(std::string key);
    /// The names on the wire; the product's own unless said otherwise. It must outlive the process.
    ControlProcessBuilder &dialect(const Dialect &dialect);

    /// Reads the data folder and opens the process's socket.
    absl::StatusOr<std::unique_ptr<ControlProcess>> build();

private:
    ControlSettings settings_;
    std::string key_;
    std::string file_;
    const Dialect *dialect_ = nullptr;
};

} // namespace kumquat
