#include "Caller.h"

#include "protocol/Wire.h"
#include "transport/HttpClient.h"
#include "transport/Spawn.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

namespace kumquat::load {

namespace {

constexpr Milliseconds responseGrace { 1'000 };
constexpr Milliseconds resendDelay { 150 };
constexpr Milliseconds readyInterval { 100 };
constexpr Milliseconds readyTimeout { 300 };
constexpr std::size_t maxIdle = 1024;

} // namespace

struct Caller::Connection
{
    explicit Connection(asio::io_context &context) : stream(context) { }
    TcpStream stream;
    beast::flat_buffer buffer;
    TimePoint usedAt {};
};

Caller::Caller(asio::io_context &context, CallerOptions options)
    : context_(context), options_(std::move(options)), idle_(options_.entries.size()),
      ready_(options_.entries.size(), true)
{
}

Caller::~Caller() = default;

void Caller::start(const std::vector<PlannedRequest> &plan)
{
    unfinished_ = plan.size();
    spawnOn(context_, [this, &plan](Yield yield) { dispatch(plan, yield); });
    for (std::size_t entry = 0; options_.checksReadiness && entry < options_.entries.size();
         ++entry) {
        spawnOn(context_, [this, entry](Yield yield) { pollReadiness(entry, yield); });
    }
}

// Polls an entry's readiness, as the balancer in front of the entries does in a deployment.
void Caller::pollReadiness(std::size_t entry, Yield yield)
{
    HttpClient client(context_, nullptr);
    while (unfinished_ > 0) {
        HttpRequest request(http::verb::get, wire::readyPath, 11);
        const auto answer
            = client.send(options_.entries[entry], std::move(request), readyTimeout, yield);
        ready_[entry] = answer.ok() && answer->result() == http::status::ok;
        pauseFor(context_, readyInterval, yield);
    }
}

std::size_t Caller::pickEntry(std::uint64_t number) const
{
    const std::size_t count = options_.entries.size();
    for (std::size_t step = 0; step < count; ++step) {
        if (ready_[(number + step) % count]) {
            return (number + step) % count;
        }
    }
    return number % count;
}

void Caller::dispatch(const std::vector<PlannedRequest> &plan, Yield yield)
{
    Timer timer(context_);
    const TimePoint begin = Clock::now();
    for (const PlannedRequest &request : plan) {
        const TimePoint start = begin + request.start;
        if (start > Clock::now()) {
            ErrorCode ignored;
            timer.expires_at(start);
            timer.async_wait(yield[ignored]);
        }
        spawnOn(context_,
                [this, request, start](Yield inner) { sendWithRetries(request, start, inner); });
    }
}

std::string Caller::requestKey(const PlannedRequest &request) const
{
    return absl::StrCat(options_.runId, "-", request.number);
}

HttpRequest Caller::buildRequest(const PlannedRequest &planned) const
{
    const std::string work = absl::StrCat("work=", planned.work.count(), "&n=", planned.number);
    HttpRequest request;
    request.version(11);
    switch (planned.kind) {
    case RequestKind::lookup:
        request.method(http::verb::get);
        request.target(absl::StrCat("/", planned.service, "/price?", work, "&size=2048"));
        break;
    case RequestKind::booking:
        request.method(http::verb::post);
        request.target(absl::StrCat("/", planned.service, "/book?", work));
        request.set(wire::idempotencyKey, requestKey(planned));
        request.body() = absl::StrCat("{\"deposit\":", planned.number, "}");
        break;
    case RequestKind::upload:
        request.method(http::verb::put);
        request.target(
            absl::StrCat("/", planned.service, "/upload?", work, "&upload=", requestKey(planned)));
        request.body().assign(options_.uploadBytes, 'd');
        break;
    }
    request.set(http::field::host, "kumquat");
    request.set(wire::deadline, std::to_string(options_.deadline.count()));
    request.keep_alive(true);
    request.prepare_payload();
    return request;
}

Caller::Reply Caller::classify(const HttpRequest &request, const HttpResponse &response) const
{
    Reply reply;
    const std::string outcome(response[wire::outcome]);
    if (!outcome.empty() && outcome != "replayed") {
        reply.replyClass = ReplyClass::refused;
        reply.notRun = outcome == "not-run";
        reply.refusal = absl::StrCat(std::string(response[wire::reason]), "/", outcome);
        return reply;
    }
    const std::string target(request.target());
    if (response.result() != http::status::ok) {
        reply.replyClass = ReplyClass::failed;
        reply.refusal = absl::StrCat("status-", response.result_int());
    } else if (std::string(response["Standin-Echo"]) != target
               || !absl::StrContains(response.body(), target)) {
        reply.replyClass = ReplyClass::wrong;
    } else if (absl::StrContains(target, "size=2048") && response.body().size() != 2048) {
        reply.replyClass = ReplyClass::partial;
    } else {
        reply.replyClass = ReplyClass::answered;
    }
    return reply;
}

std::unique_ptr<Caller::Connection> Caller::connect(std::size_t entry, ErrorCode &error,
                                                    Yield yield)
{
    auto &idle = idle_[entry];
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        char byte = 0;
        const auto peeked = ::recv(connection->stream.socket().native_handle(), &byte, 1,
                                   MSG_PEEK | MSG_DONTWAIT);
        if (peeked < 0 && Clock::now() - connection->usedAt < Seconds(20)) {
            return connection;
        }
    }
    auto connection = std::make_unique<Connection>(context_);
    connection->stream.expires_after(options_.deadline);
    connection->stream.async_connect(options_.entries[entry].tcp(), yield[error]);
    if (!error) {
        connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    }
    return connection;
}

Caller::Reply Caller::send(const PlannedRequest &planned, std::size_t entry, Yield yield)
{
    const HttpRequest request = buildRequest(planned);
    ErrorCode error;
    auto connection = connect(entry, error, yield);
    if (error) {
        // Nothing was sent. In a deployment, the balancer in front of the entries would have chosen
        // another entry.
        Reply reply;
        reply.notRun = true;
        reply.refusal = "connect-failed";
        return reply;
    }
    const Milliseconds timeout = planned.kind == RequestKind::upload
        ? Milliseconds(60'000)
        : options_.deadline + responseGrace;
    connection->stream.expires_after(timeout);
    http::async_write(connection->stream, request, yield[error]);
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    if (!error || planned.kind == RequestKind::upload) {
        error = {};
        http::async_read(connection->stream, connection->buffer, parser, yield[error]);
    }
    if (error) {
        return Reply {};
    }
    const HttpResponse response = parser.release();
    if (response.keep_alive() && idle_[entry].size() < maxIdle) {
        connection->usedAt = Clock::now();
        idle_[entry].push_back(std::move(connection));
    }
    return classify(request, response);
}

void Caller::sendWithRetries(const PlannedRequest &planned, TimePoint start, Yield yield)
{
    Tally &tally = tallies_[absl::StrCat(planned.service, " ", requestKindName(planned.kind))];
    ++tally.sent;
    Reply reply;
    const int sends = planned.kind == RequestKind::booking ? options_.maxBookingSends : 1;
    bool mayHaveRun = false;
    for (int sent = 0; sent < sends; ++sent) {
        const std::size_t entry = pickEntry(planned.number + static_cast<std::uint64_t>(sent));
        reply = send(planned, entry, yield);
        const bool isFinal = reply.replyClass != ReplyClass::broken
            && !(reply.replyClass == ReplyClass::refused && !reply.notRun);
        mayHaveRun = mayHaveRun || (!isFinal && !reply.notRun);
        if (isFinal) {
            break;
        }
        pauseFor(context_, resendDelay, yield);
    }
    --unfinished_;
    switch (reply.replyClass) {
    case ReplyClass::answered:
        ++tally.answered;
        tally.latenciesMs.push_back(toMilliseconds(Clock::now() - start));
        break;
    case ReplyClass::failed:
        ++tally.failed;
        ++tally.refused[reply.refusal];
        break;
    case ReplyClass::refused:
        ++tally.refused[reply.refusal];
        break;
    case ReplyClass::broken:
        ++tally.broken;
        break;
    case ReplyClass::wrong:
        ++tally.wrong;
        break;
    case ReplyClass::partial:
        ++tally.partial;
        break;
    }
    if (planned.kind == RequestKind::booking) {
        bookings_[requestKey(planned)] = { reply.replyClass == ReplyClass::answered, mayHaveRun };
    } else if (planned.kind == RequestKind::upload) {
        uploads_[requestKey(planned)] = reply.replyClass == ReplyClass::answered;
    }
}

} // namespace kumquat::load
