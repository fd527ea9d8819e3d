#pragma once
/// \file
/// Makes long texts short for the way between processes, with zlib.
/// The result carries the length of the text, so that reading it takes no more than that.

#include <absl/status/statusor.h>
#include <string>

namespace kumquat {

std::string deflateText(const std::string &text);

/// The text that was given to deflated(); fails with ErrorKind::badMessage when \p bytes are no
/// such result or the text is longer than \p limit bytes.
absl::StatusOr<std::string> inflateText(const std::string &bytes, std::size_t limit);

} // namespace kumquat
