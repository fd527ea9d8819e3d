#pragma once
/// \file
/// Decides whether bytes are one JSON text as RFC 8259 defines it, before any library reads them.
/// Every writer of state goes through it, so that what one process accepts every reader can read.

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace kumquat {

enum class JsonSyntax {
    strict, ///< RFC 8259, for everything that comes from other processes
    withComments, ///< also comments, for files that operators write
    lenient, ///< as earlier versions read it, only for what the group has confirmed already
};

/// Most objects and lists inside one another.
constexpr std::size_t maxJsonDepth = 64;

/// Why a text is not valid, and where.
struct JsonFault
{
    std::size_t byte = 0; ///< counted from 1
    std::size_t line = 0; ///< counted from 1
    std::string what;
    std::string remedy;
};

/// The first fault of \p text, except for repeated keys; std::nullopt when there is none.
std::optional<JsonFault> findJsonFault(std::string_view text, JsonSyntax syntax);

/// The position of the first byte that is not part of valid UTF-8; npos when there is none.
std::size_t findInvalidUtf8(std::string_view text);

/// \p text cut to at most \p maxBytes, between two characters, with a mark that it was cut.
std::string cutText(const std::string &text, std::size_t maxBytes);

} // namespace kumquat
