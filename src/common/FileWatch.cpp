#include "common/FileWatch.h"

#include <fstream>
#include <sstream>

namespace kumquat {

FileWatch::FileWatch(std::string file)
    : file_(std::move(file)), lastContent_(readFile().value_or(""))
{
}

std::optional<std::string> FileWatch::readFile() const
{
    if (file_.empty()) {
        return std::nullopt;
    }
    std::ifstream stream(file_);
    if (!stream) {
        return std::nullopt;
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

std::optional<std::string> FileWatch::readIfChanged()
{
    std::optional<std::string> content = readFile();
    if (!content || *content == lastContent_) {
        return std::nullopt;
    }
    lastContent_ = *content;
    return content;
}

} // namespace kumquat
