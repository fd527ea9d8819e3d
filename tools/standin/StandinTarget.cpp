#include "StandinTarget.h"

#include "platform/Target.h"
#include "protocol/Wire.h"
#include "transport/Spawn.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace kumquat::standin {

namespace {

constexpr std::size_t readChunkBytes = 256 * 1024;
constexpr Seconds idleTimeout { 300 };
constexpr Milliseconds restartDelay { 2'000 };
constexpr std::size_t maxArrivals = 2'000;

void recordArrival(std::deque<Milliseconds> &arrivals)
{
    arrivals.push_back(wallTime());
    if (arrivals.size() > maxArrivals) {
        arrivals.pop_front();
    }
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return "";
    }
    const auto begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
}

} // namespace

StandinTarget::StandinTarget(asio::io_context &context, TargetRecord record, Behaviour behaviour,
                             ExecutionRecord &executions, std::uint64_t seed)
    : context_(context), record_(std::move(record)), behaviour_(std::move(behaviour)),
      executions_(executions), random_(seed), acceptor_(context)
{
    behaviour_.slots = record_.slots;
    behaviour_.queue = 2 * record_.slots;
}

absl::Status StandinTarget::listen()
{
    const absl::Status opened = openAcceptor(acceptor_, { record_.ip, record_.port }, false);
    if (opened.ok()) {
        spawnOn(context_, [this](Yield yield) { accept(yield); });
    }
    return opened;
}

void StandinTarget::silenceOpenConnections()
{
    for (const auto &connection : connections_) {
        connection->silent = true;
    }
}

void StandinTarget::accept(Yield yield)
{
    while (true) {
        TcpSocket socket(context_);
        ErrorCode error;
        acceptor_.async_accept(socket, yield[error]);
        if (error) {
            pauseFor(context_, Milliseconds(20), yield);
            continue;
        }
        // A crashed target would refuse connections. The listening socket stays open, so each
        // connection is reset instead.
        if (crashed_) {
            socket.set_option(asio::socket_base::linger(true, 0), error);
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        const auto connection = std::make_shared<Connection>(std::move(socket));
        connections_.insert(connection);
        spawnOn(context_, [this, connection](Yield inner) { serve(connection, inner); });
    }
}

void StandinTarget::serve(const std::shared_ptr<Connection> &connection, Yield yield)
{
    while (serveRequest(*connection, yield)) { }
    connections_.erase(connection);
}

bool StandinTarget::readBody(Connection &connection, Parser &parser, std::uint64_t &bytes,
                             Yield yield)
{
    std::vector<char> chunk(parser.is_done() ? 0 : readChunkBytes);
    while (!parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        ErrorCode error;
        http::async_read_some(connection.stream, connection.buffer, parser, yield[error]);
        if (error && error != http::error::need_buffer) {
            return false;
        }
        bytes += chunk.size() - parser.get().body().size;
    }
    return true;
}

// A caller may state the service time of its request in microseconds, so that runs with the same
// seed are comparable.
Microseconds StandinTarget::serviceTime(const std::string &target)
{
    const TimePoint now = Clock::now();
    std::int64_t requestedMicroseconds = 0;
    const bool isRequested = absl::SimpleAtoi(queryValue(target, "work"), &requestedMicroseconds);
    if (behaviour_.shiftEveryMs > 0 && now >= nextShift_) {
        std::exponential_distribution<double> gap(1 / behaviour_.shiftEveryMs);
        shiftUntil_ = now + Microseconds(static_cast<int>(behaviour_.shiftLengthMs * 1000));
        nextShift_ = shiftUntil_ + Microseconds(static_cast<int>(gap(random_) * 1000));
    }
    double ms
        = (isRequested ? static_cast<double>(requestedMicroseconds) / 1000 : behaviour_.meanWorkMs)
        * behaviour_.slowdown;
    if (!isRequested && behaviour_.shape == ServiceTimeDistribution::exponential && ms > 0) {
        ms = std::exponential_distribution<double>(1 / ms)(random_);
    }
    if (now < shiftUntil_) {
        ms *= behaviour_.shiftFactor;
    }
    return Microseconds(static_cast<std::int64_t>(ms * 1000));
}

// Waits for a free slot. Returns false when the queue is full; the request is then shed without
// having been executed.
bool StandinTarget::acquireSlot(Yield yield)
{
    if (running_ < behaviour_.slots) {
        ++running_;
        return true;
    }
    if (static_cast<int>(waiting_.size()) >= behaviour_.queue) {
        return false;
    }
    Timer timer(context_, TimePoint::max());
    waiting_.push_back(&timer);
    ErrorCode ignored;
    timer.async_wait(yield[ignored]);
    return true;
}

void StandinTarget::releaseSlot()
{
    if (waiting_.empty()) {
        --running_;
        return;
    }
    waiting_.front()->cancel();
    waiting_.pop_front();
}

void StandinTarget::crash()
{
    ++crashes_;
    crashed_ = true;
    for (const auto &connection : connections_) {
        connection->stream.close();
    }
    spawnOn(context_, [this](Yield yield) {
        pauseFor(context_, restartDelay, yield);
        crashed_ = false;
    });
}

HttpResponse StandinTarget::makeRefusal()
{
    HttpResponse response = textResponse(http::status::service_unavailable, "{}");
    if (usesPlatformProtocol_) {
        platform::markNotExecuted(response);
    } else {
        response.set(wire::shed, "not-run");
    }
    if (behaviour_.asksForRest()) {
        response.set(http::field::retry_after, behaviour_.retryAfter);
    }
    return response;
}

HttpResponse StandinTarget::makeResponse(const http::request_header<> &header,
                                         std::uint64_t bodyBytes)
{
    const std::string target(header.target());
    std::uint64_t size = 0;
    std::string body = absl::StrCat("{\"path\":\"", target, "\",\"received\":", bodyBytes, "}\n");
    if (absl::SimpleAtoi(queryValue(target, "size"), &size)) {
        body.resize(std::max<std::size_t>(body.size(), size), '.');
    }
    HttpResponse response = textResponse(http::status::ok, std::move(body));
    response.set("Standin-Echo", target);
    return response;
}

void StandinTarget::addLoadReport(const http::request_header<> &header, HttpResponse &response)
{
    const int reported = static_cast<int>(inFlight() * behaviour_.lieFactor);
    if (usesPlatformProtocol_) {
        platform::addResponseHeaders(response, record_, { reported, behaviour_.slots, 100 },
                                     header);
    } else {
        response.set(wire::load, absl::StrCat("inflight=", reported, ";slots=", behaviour_.slots));
    }
    if (usesPlatformProtocol_ && behaviour_.coldUntil != TimePoint()) {
        const auto left = std::chrono::ceil<Milliseconds>(behaviour_.coldUntil - Clock::now());
        platform::addRemainingWarmup(response, std::max(Milliseconds(0), left));
    }
    if (behaviour_.saysLeaving) {
        platform::markLeaving(response);
    }
}

bool StandinTarget::write(Connection &connection, const http::request_header<> &header,
                          HttpResponse response, Yield yield)
{
    addLoadReport(header, response);
    response.keep_alive(true);
    response.prepare_payload();
    ErrorCode error;
    const bool truncated
        = std::uniform_real_distribution<double>()(random_) < behaviour_.truncateShare;
    if (truncated) {
        response.content_length(response.body().size() + 64);
    }
    connection.stream.expires_after(idleTimeout);
    http::async_write(connection.stream, response, yield[error]);
    if (truncated) {
        connection.stream.close();
    }
    return !error && !truncated;
}

bool StandinTarget::serveRequest(Connection &connection, Yield yield)
{
    Parser parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    ErrorCode error;
    connection.stream.expires_after(idleTimeout);
    http::async_read_header(connection.stream, connection.buffer, parser, yield[error]);
    std::uint64_t bytes = 0;
    if (error) {
        return false;
    }
    const http::request_header<> header = parser.get();
    const std::string target(header.target());
    if (target == "/health") {
        ++probes_;
        recordArrival(probeArrivals_);
        const auto status
            = behaviour_.healthFails ? http::status::service_unavailable : http::status::ok;
        return readBody(connection, parser, bytes, yield)
            && write(connection, header, textResponse(status, "{}"), yield);
    }
    recordArrival(arrivals_);
    if (!readBody(connection, parser, bytes, yield)) {
        return false;
    }
    if (connection.silent) {
        pauseFor(context_, idleTimeout, yield);
        return false;
    }
    if (usesPlatformProtocol_ && platform::isMisdirected(header, record_)) {
        return write(connection, header, textResponse(http::status::misdirected_request, "{}"),
                     yield);
    }
    peak_ = std::max(peak_, inFlight() + 1);
    if (std::uniform_real_distribution<double>()(random_) < behaviour_.failShare) {
        return write(connection, header, textResponse(http::status::internal_server_error, "{}"),
                     yield);
    }
    if (behaviour_.asksForRest() || !acquireSlot(yield)) {
        ++sheds_;
        return write(connection, header, makeRefusal(), yield);
    }
    if (behaviour_.crashOnPoison && target.find("/poison") != std::string::npos) {
        releaseSlot();
        crash();
        return false;
    }
    const std::string key = usesPlatformProtocol_ ? platform::requestId(header)
                                                  : std::string(header[wire::idempotencyKey]);
    if (!key.empty()) {
        ++executions_.runs[key];
    }
    const std::string upload = queryValue(target, "upload");
    if (!upload.empty()) {
        executions_.uploads[upload] = bytes;
    }
    pauseFor(context_, serviceTime(target), yield);
    ++served_;
    HttpResponse response = makeResponse(header, bytes);
    if (usesPlatformProtocol_) {
        platform::addResponseStamp(response, absl::StrCat(record_.name, ".", served_));
    }
    releaseSlot();
    return write(connection, header, std::move(response), yield);
}

} // namespace kumquat::standin
