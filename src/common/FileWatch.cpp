#include "common/FileWatch.h"

#include <fstream>
#include <sstream>

namespace kumquat {

FileWatch::FileWatch(std::string file) : file_(std::move(file)), known_(read().value_or(""))
{
}

std::optional<std::string> FileWatch::read() const
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

std::optional<std::string> FileWatch::changed()
{
    std::optional<std::string> content = read();
    if (!content || *content == known_) {
        return std::nullopt;
    }
    known_ = *content;
    return content;
}

} // namespace kumquat
