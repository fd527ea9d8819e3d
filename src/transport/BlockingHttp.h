#pragma once
/// \file
/// Makes one HTTP call and blocks the thread until it ends.
/// For command-line tools only, since an event loop must not block.

#include "transport/HttpClient.h"

namespace kumquat {

/// Signs the request with \p authenticator unless it is null.
absl::StatusOr<HttpResponse> blockingCall(const Address &address, HttpRequest request,
                                          std::shared_ptr<Authenticator> authenticator,
                                          Milliseconds timeout);

} // namespace kumquat
