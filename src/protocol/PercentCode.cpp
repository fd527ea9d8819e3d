#include "protocol/PercentCode.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <charconv>

namespace kumquat {

std::string encodePercent(const std::string &text)
{
    std::string encoded;
    for (const char c : text) {
        if (absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_') {
            encoded += c;
        } else {
            absl::StrAppend(&encoded, "%",
                            absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad2));
        }
    }
    return encoded;
}

std::optional<std::string> decodePercent(const std::string &text)
{
    constexpr std::size_t escapeDigits = 2;
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        if (text.size() - i <= escapeDigits) {
            return std::nullopt;
        }
        unsigned char byte = 0;
        const char *const first = text.data() + i + 1;
        const char *const last = first + escapeDigits;
        if (std::from_chars(first, last, byte, hexadecimal).ptr != last) {
            return std::nullopt;
        }
        decoded += static_cast<char>(byte);
        i += escapeDigits;
    }
    return decoded;
}

} // namespace kumquat
