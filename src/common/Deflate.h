#pragma once
/// \file
/// Compresses and decompresses texts that processes exchange, with zlib.
/// The compressed form starts with the length of the text, which bounds the memory for reading it.

#include <absl/status/statusor.h>
#include <string>

namespace kumquat {

std::string deflateText(const std::string &text);

/// Reverses deflateText(); fails with ErrorKind::badMessage when \p bytes is not a valid result of
/// it or the text is longer than \p limit bytes.
absl::StatusOr<std::string> inflateText(const std::string &bytes, std::size_t limit);

} // namespace kumquat
