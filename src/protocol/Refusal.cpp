#include "protocol/Refusal.h"

#include "protocol/Wire.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace kumquat {

namespace {

struct RefusalText
{
    const char *name;
    http::status status;
    const char *retryAfterSeconds; // null: a retry cannot help
    const char *remedy;
};

const RefusalText &refusalText(RefusalReason reason)
{
    static const RefusalText texts[refusalReasonCount] = {
        { "malformed-request", http::status::bad_request, nullptr, "send well-formed HTTP/1.1" },
        { "request-too-large", http::status::payload_too_large, nullptr,
          "send less, or use an upload route" },
        { "no-route", http::status::not_found, nullptr,
          "use a path and method that a service has" },
        { "not-ready", http::status::service_unavailable, "1", "send it to another entry" },
        { "missing-key", http::status::bad_request, nullptr,
          "send an Idempotency-Key of 1 to 128 visible ASCII characters" },
        { "key-mismatch", http::status::unprocessable_entity, nullptr,
          "use a new Idempotency-Key for another request" },
        { "overloaded", http::status::service_unavailable, "1", "send it again later" },
        { "no-target", http::status::service_unavailable, "2", "send it again later" },
        { "deadline-exceeded", http::status::gateway_timeout, nullptr, "allow more time" },
        { "retries-exhausted", http::status::service_unavailable, "1", "send it again later" },
        { "control-unreachable", http::status::service_unavailable, "2", "send it again later" },
        { "records-full", http::status::insufficient_storage, "60", "send it again later" },
        { "quarantined", http::status::service_unavailable, "60",
          "do not send it again; targets ended while they ran it" },
        { "target-failed", http::status::bad_gateway, "1", "send it again" },
        { "outcome-unknown", http::status::gateway_timeout, "2",
          "send it again with the same Idempotency-Key to learn the outcome" },
        { "internal-error", http::status::internal_server_error, nullptr,
          "report it with the time and the request's ID" },
        { "request-timeout", http::status::request_timeout, nullptr,
          "send the whole request within the time limits" },
        { "stopping", http::status::service_unavailable, "0.050",
          "send it again on a new connection, which reaches another entry" },
        { "unknown-key", http::status::unauthorized, nullptr,
          "send the key of an organisation that the configuration lists" },
        { "over-quota", http::status::too_many_requests, "1",
          "send it again later; the organisation's quota is used up" },
        { "quota-undecided", http::status::service_unavailable, "0.050",
          "send it again; whether the organisation's quota has room was not known in time" },
        { "cut-by-stop", http::status::gateway_timeout, nullptr,
          "send it again on a new connection if it may run twice" },
    };
    return texts[static_cast<int>(reason)];
}

} // namespace

const char *refusalReasonName(RefusalReason reason)
{
    return refusalText(reason).name;
}

HttpResponse refusal(RefusalReason reason, RunOutcome outcome)
{
    const RefusalText &text = refusalText(reason);
    const char *outcomeName = outcome == RunOutcome::notRun ? "not-run" : "unknown";
    HttpResponse response
        = textResponse(text.status,
                       absl::StrCat("{\"outcome\":\"", outcomeName, "\",\"reason\":\"", text.name,
                                    "\",\"remedy\":\"", text.remedy, "\"}\n"));
    response.set(wire::outcome, outcomeName);
    response.set(wire::reason, text.name);
    if (text.retryAfterSeconds != nullptr) {
        response.set(http::field::retry_after, text.retryAfterSeconds);
    }
    return response;
}

std::string formatSeconds(Milliseconds duration)
{
    constexpr int millisecondsPerSecond = 1'000;
    return absl::StrFormat("%d.%03d", duration.count() / millisecondsPerSecond,
                           duration.count() % millisecondsPerSecond);
}

} // namespace kumquat
