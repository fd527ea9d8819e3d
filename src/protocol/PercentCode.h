#pragma once
/// \file
/// Encodes and decodes the percent escapes of a URL's path (RFC 3986, section 2.1).
/// The command-line tool and the control members name failure domains in paths with them.

#include <optional>
#include <string>

namespace kumquat {

/// \p text with all but ASCII letters, digits, `-` and `_` escaped.
std::string encodePercent(const std::string &text);

/// \p text with its escapes replaced by the bytes that they stand for; std::nullopt when one is
/// malformed.
std::optional<std::string> decodePercent(const std::string &text);

} // namespace kumquat
