#include "common/Duration.h"

#include <absl/strings/numbers.h>

namespace kumquat {

std::optional<Milliseconds> parseDuration(const std::string &text)
{
    const std::size_t unitStart = text.find_first_not_of("0123456789.");
    double number = 0;
    if (unitStart == std::string::npos || !absl::SimpleAtod(text.substr(0, unitStart), &number)) {
        return std::nullopt;
    }
    const std::string unit = text.substr(unitStart);
    if (unit == "ms") {
        return Milliseconds(static_cast<std::int64_t>(number));
    }
    constexpr double millisecondsPerSecond = 1'000;
    if (unit == "s") {
        return Milliseconds(static_cast<std::int64_t>(number * millisecondsPerSecond));
    }
    return std::nullopt;
}

} // namespace kumquat
