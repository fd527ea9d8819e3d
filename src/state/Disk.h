#pragma once
/// \file
/// Defines the file operations that the durable state needs.
/// Processes use a folder on disk; tests replace the operations to inject faults.
/// Any error but ErrorKind::storageFull leaves the contents of the file unknown.

#include <absl/status/status.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace kumquat {

struct Disk
{
    /// The content of a file; nothing if it does not exist.
    std::function<std::optional<std::string>(const std::string &name)> read;
    /// The length of a file; nothing if it does not exist.
    std::function<std::optional<std::uint64_t>(const std::string &name)> size;
    /// At most \p maxBytes of a file from \p offset on; fewer at its end.
    std::function<std::string(const std::string &name, std::uint64_t offset, std::size_t maxBytes)>
        readPart;
    /// Shortens a file to its first \p bytes; durable on return.
    std::function<absl::Status(const std::string &name, std::uint64_t bytes)> truncate;
    /// Appends to a file; durable only after sync(). ErrorKind::storageFull: part of the bytes may
    /// have been appended.
    std::function<absl::Status(const std::string &name, const std::string &bytes)> append;
    std::function<absl::Status(const std::string &name)> sync;
    /// Replaces a file atomically; durable on return. ErrorKind::storageFull: the file is as it
    /// was.
    std::function<absl::Status(const std::string &name, const std::string &bytes)> replace;
};

/// Sets \p disk to the files in \p folder, which is created if it does not exist.
absl::Status openFolder(const std::string &folder, Disk &disk);

} // namespace kumquat
