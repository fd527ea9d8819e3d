#include "common/Duration.h"

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

namespace kumquat {

namespace {

using std::chrono::nanoseconds;

constexpr nanoseconds maxDuration = std::chrono::hours(24 * 365 * 100);

/// Reads `WHOLE[.FRACTION]` as a multiple of \p unit, without the rounding of binary fractions.
std::optional<nanoseconds> multiplied(absl::string_view number, nanoseconds unit)
{
    const absl::string_view whole = number.substr(0, number.find('.'));
    absl::string_view fraction = number.substr(whole.size());
    fraction.remove_prefix(fraction.empty() ? 0 : 1);
    const bool isNumber
        = fraction.find('.') == absl::string_view::npos && !(whole.empty() && fraction.empty());
    std::int64_t count = 0;
    if (!isNumber || !(whole.empty() || absl::SimpleAtoi(whole, &count))
        || count > maxDuration / unit) {
        return std::nullopt;
    }
    nanoseconds result = count * unit;
    for (const char digit : fraction) {
        unit /= 10;
        result += (digit - '0') * unit;
    }
    return result;
}

} // namespace

std::optional<nanoseconds> parseExactDuration(const std::string &text)
{
    const std::size_t unitStart = std::min(text.size(), text.find_first_not_of("0123456789."));
    const absl::string_view number = absl::string_view(text).substr(0, unitStart);
    const absl::string_view unit = absl::string_view(text).substr(unitStart);
    if (unit == "ms") {
        return multiplied(number, Milliseconds(1));
    }
    return unit == "s" ? multiplied(number, Seconds(1)) : std::nullopt;
}

std::optional<Milliseconds> parseDuration(const std::string &text)
{
    const auto exact = parseExactDuration(text);
    if (!exact) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Milliseconds>(*exact);
}

} // namespace kumquat
