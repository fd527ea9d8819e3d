#pragma once
/// \file
/// What an entry needs of a caller's request beside its fields.
/// These functions know neither routes nor targets.

#include "transport/HttpServer.h"

#include <cstdint>
#include <string>

namespace kumquat {

/// The path without the query.
std::string pathOf(const http::request_header<> &header);

/// A hash of method, target, \p body and the name of the caller's \p organisation (empty for an
/// anonymous caller), by which a request that comes again is recognised.
std::uint64_t fingerprintOf(const http::request_header<> &header, const std::string &body,
                            const std::string &organisation = {});

/// True when \p error says that a body breaks the protocol.
bool isMalformed(ErrorCode error);

} // namespace kumquat
