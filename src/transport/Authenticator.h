#pragma once
/// \file
/// Signs and verifies the messages that the system's own processes exchange.
/// A tag holds the sender's wall time, a nonce and an HMAC-SHA256 with the cluster key.

#include "common/Random.h"
#include "common/Time.h"

#include <absl/status/status.h>
#include <functional>
#include <mutex>
#include <set>
#include <string>

namespace kumquat {

class Authenticator
{
public:
    using WallNowFunction = std::function<Milliseconds()>;

    /// A message whose time differs from this clock by more is rejected; otherwise each tag is
    /// accepted once.
    static constexpr Milliseconds replayWindow { 30'000 };

    explicit Authenticator(std::string key, WallNowFunction wallNow = wallTime);

    /// The tag for \p message, as text: "time.nonce.hmac".
    std::string sign(const std::string &message);

    /// Fails with ErrorKind::notAuthentic on a malformed tag, another key, a time outside the
    /// window or a replay.
    absl::Status verify(const std::string &tag, const std::string &message);

private:
    struct AcceptedTag
    {
        std::int64_t time;
        std::string nonce;
        bool operator<(const AcceptedTag &other) const
        {
            return time != other.time ? time < other.time : nonce < other.nonce;
        }
    };

    std::string digest(const std::string &prefix, const std::string &message) const;

    const std::string key_;
    const WallNowFunction wallNow_;
    std::mutex mutex_;
    Random random_;
    std::set<AcceptedTag> acceptedTags_;
};

} // namespace kumquat
