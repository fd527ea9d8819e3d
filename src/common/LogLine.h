#pragma once
/// \file
/// Turns an event into the members of one JSON object, and bounds how many lines a kind may write.
/// Words of the form `key=value` become members of their own; the rest stays as text.

#include "common/Time.h"

#include <array>
#include <cstddef>
#include <mutex>
#include <string>

namespace kumquat {

/// The members of the line's object, without braces: "event":330,"request":"...","text":"...".
std::string logMembers(int event, const std::string &text);

/// Lets a number of lines a second pass for each event and counts the others.
class LogRateLimiter
{
public:
    static constexpr int linesPerSecond = 200;
    static constexpr std::size_t maxEvents = 1'024;

    struct Decision
    {
        bool admitted = false;
        int droppedBefore = 0; ///< lines that did not pass since the last one that did
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
