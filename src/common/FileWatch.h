#pragma once
/// \file
/// Notices that a small file has changed, by its content.
/// The file may be replaced with or without a signal, so it is looked at from time to time.

#include <optional>
#include <string>

namespace kumquat {

class FileWatch
{
public:
    /// Takes the present content as known; an empty name watches nothing.
    explicit FileWatch(std::string file);

    /// The content when it differs from what was known; a file that cannot be read has not changed.
    std::optional<std::string> readIfChanged();

private:
    std::optional<std::string> readFile() const;

    std::string file_;
    std::string lastContent_;
};

} // namespace kumquat
