#include "transport/BlockingHttp.h"

#include "kumquat/Error.h"
#include "transport/Spawn.h"

namespace kumquat {

absl::StatusOr<HttpResponse> blockingCall(const Address &address, HttpRequest request,
                                          std::shared_ptr<Authenticator> authenticator,
                                          Milliseconds timeout)
{
    asio::io_context loop { 1 };
    absl::StatusOr<HttpResponse> result
        = makeError(ErrorKind::unavailable, "the call did not run", "send it again");
    spawnOn(loop, [&](Yield yield) {
        HttpClient client(loop, std::move(authenticator));
        result = client.send(address, std::move(request), timeout, yield);
    });
    runLoop(loop);
    return result;
}

} // namespace kumquat
