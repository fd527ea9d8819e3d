#pragma once
/// \file
/// Detects changes of a small file by comparing its content.
/// The caller polls it, since a file may be replaced without a signal to the process.

#include <optional>
#include <string>

namespace kumquat {

class FileWatch
{
public:
    /// Changes count from the current content; an empty file name watches nothing.
    explicit FileWatch(std::string file);

    /// The content when it has changed since the last call; a file that cannot be read counts as
    /// unchanged.
    std::optional<std::string> readIfChanged();

private:
    std::optional<std::string> readFile() const;

    std::string file_;
    std::string lastContent_;
};

} // namespace kumquat
