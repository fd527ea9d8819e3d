#pragma once
/// \file
/// Makes one HTTP call and waits for it; for command-line tools, never for daemons.

#include "transport/HttpClient.h"

namespace kumquat {

/// Signs the request with \p authenticator unless it is null.
absl::StatusOr<HttpResponse> blockingCall(const Address &address, HttpRequest request,
                                          std::shared_ptr<Authenticator> authenticator,
                                          Milliseconds timeout);

} // namespace kumquat
