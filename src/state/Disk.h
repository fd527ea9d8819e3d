#pragma once
/// \file
/// Defines the few operations on files that the durable state needs.
/// Processes use a real folder; tests inject faults through the same hooks.

#include <absl/status/status.h>
#include <functional>
#include <optional>
#include <string>

namespace kumquat {

struct Disk
{
    /// The content of a file; nothing when there is none.
    std::function<std::optional<std::string>(const std::string &name)> read;
    /// Adds to a file's end; lasts only after sync().
    std::function<absl::Status(const std::string &name, const std::string &bytes)> append;
    std::function<absl::Status(const std::string &name)> sync;
    /// Replaces a file in one step; lasts on return.
    std::function<absl::Status(const std::string &name, const std::string &bytes)> replace;
};

/// The files below \p folder, which is made if need be.
absl::Status openFolder(const std::string &folder, Disk &disk);

} // namespace kumquat
