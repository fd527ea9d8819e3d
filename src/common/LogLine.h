#pragma once
/// \file
/// Formats a log event as members of a JSON object and limits the rate of lines for each event.
/// Leading words of the form `key=value` become members; the rest becomes the member `text`.

#include "common/Time.h"

#include <array>
#include <cstddef>
#include <mutex>
#include <string>

namespace kumquat {

/// The members of the line's object, without braces: "event":330,"request":"...","text":"...".
std::string logMembers(int event, const std::string &text);

/// Admits linesPerSecond lines a second of each event and counts the dropped ones.
class LogRateLimiter
{
public:
    static constexpr int linesPerSecond = 200;
    static constexpr std::size_t maxEvents = 1'024; ///< event numbers are taken modulo this

    struct Decision
    {
        bool admitted = false;
        int droppedBefore = 0; ///< lines dropped since the last admitted one
    };

    Decision admit(int event, TimePoint now);

private:
    struct Window
    {
        TimePoint start;
        int lines = 0;
        int dropped = 0;
    };

    std::mutex mutex_;
    std::array<Window, maxEvents> windows_;
};

} // namespace kumquat
