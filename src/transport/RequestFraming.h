#pragma once
/// \file
/// Checks that a request's header says in one way only where its body ends and whom it is for.
/// A header that two readers can understand differently would let one request hide in another.

#include "transport/Asio.h"

namespace kumquat {

/// What is wrong with a request's header, for logs; null when nothing is.
/// \p hasBody tells whether the parser expects a body after it.
const char *ambiguityOf(const http::request_header<> &header, bool hasBody);

} // namespace kumquat
