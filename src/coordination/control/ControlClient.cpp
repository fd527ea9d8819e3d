#include "coordination/control/ControlClient.h"

#include "protocol/Codec.h"
#include "protocol/Wire.h"
#include "transport/Spawn.h"

namespace kumquat {

namespace {

constexpr Milliseconds retryDelay { 30 };
constexpr Milliseconds onceAttemptTimeout { 700 };
constexpr char leaderHeader[] = "Kumquat-Leader";

} // namespace

ControlClient::ControlClient(asio::io_context &context,
                             std::shared_ptr<Authenticator> authenticator,
                             std::vector<Address> members,
                             std::shared_ptr<std::atomic<std::size_t>> leaderPosition)
    : context_(context), client_(context, std::move(authenticator)), members_(std::move(members)),
      leaderPosition_(std::move(leaderPosition))
{
}

// Calls the last known leader. On failure, tries the leader that it names, or else the next member
// in turn, until the deadline.
absl::StatusOr<HttpResponse> ControlClient::callLeader(const char *path, const std::string &body,
                                                       TimePoint deadline,
                                                       Milliseconds attemptTimeout, Yield yield)
{
    absl::Status lastError = makeError(ErrorKind::unavailable, "no control member has answered",
                                       "check that a majority of the control members is running");
    while (Clock::now() < deadline) {
        const std::size_t position = leaderPosition_->load() % members_.size();
        const auto remaining
            = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()) + Milliseconds(1);
        auto response = client_.post(members_[position], path, body,
                                     std::min(attemptTimeout, remaining), yield);
        if (response.ok() && response->result() != http::status::misdirected_request) {
            return response;
        }
        std::size_t next = position + 1;
        if (response.ok()) {
            const std::string leaderAddress((*response)[leaderHeader]);
            for (std::size_t i = 0; i < members_.size(); ++i) {
                next = members_[i].text() == leaderAddress ? i : next;
            }
        } else {
            lastError = response.status();
        }
        std::size_t expected = position;
        leaderPosition_->compare_exchange_strong(expected, next % members_.size());
        pauseFor(context_, retryDelay, yield);
    }
    return lastError;
}

absl::StatusOr<OnceReply> ControlClient::once(const OnceRequest &request, TimePoint deadline,
                                              Yield yield)
{
    const auto response
        = callLeader(wire::oncePath, pack(request), deadline, onceAttemptTimeout, yield);
    if (!response.ok()) {
        return response.status();
    }
    if (response->result() != http::status::ok) {
        return makeError(ErrorKind::unavailable, "the control group answered " + response->body(),
                         "see the control leader's log");
    }
    return unpack<OnceReply>(response->body());
}

absl::StatusOr<std::optional<ConfigurationUpdate>>
ControlClient::pollConfiguration(const ConfigurationPoll &poll, Milliseconds timeout, Yield yield)
{
    const auto response
        = callLeader(wire::configurationPath, pack(poll), Clock::now() + timeout, timeout, yield);
    if (!response.ok()) {
        return response.status();
    }
    if (response->result() == http::status::no_content) {
        return std::optional<ConfigurationUpdate>();
    }
    auto update = unpack<ConfigurationUpdate>(response->body());
    if (!update.ok() || update->names.size() != update->contents.size()) {
        return makeError(ErrorKind::badMessage, "the configuration cannot be read",
                         "run the same version on every instance");
    }
    return std::optional<ConfigurationUpdate>(std::move(*update));
}

} // namespace kumquat
