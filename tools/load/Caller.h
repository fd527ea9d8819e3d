#pragma once
/// \file
/// Sends planned requests as independent callers would: open loop, with keep-alive connections and
/// resent bookings. Checks that each response is complete and belongs to its request.

#include "Plan.h"
#include "transport/Address.h"
#include "transport/HttpServer.h"

#include <map>
#include <memory>

namespace kumquat::load {

/// Results of all requests of one kind to one service.
struct Tally
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t wrong = 0; ///< the response belongs to another request
    std::uint64_t partial = 0; ///< the body is incomplete although its transfer succeeded
    std::uint64_t broken = 0; ///< no complete response, because of a lost connection or a timeout
    std::uint64_t failed = 0; ///< the target's own error response, passed on by the entry
    std::map<std::string, std::uint64_t> refused; ///< by reason and outcome, or by failure status
    std::vector<double> latenciesMs; ///< of answered requests, from their planned start
};

/// What the caller learned about a booking over all attempts to send it.
struct BookingOutcome
{
    bool answered = false;
    bool mayHaveRun = false; ///< an attempt ended with outcome `unknown` or without a response
};

struct CallerOptions
{
    std::vector<Address> entries;
    Milliseconds deadline { 2'000 };
    std::size_t uploadBytes = 1'000'000;
    bool checksReadiness = true; ///< poll the entries' readiness, as an upstream balancer would
    int maxBookingSends = 4; ///< including the first
    std::string runId; ///< prefix of every key
};

class Caller
{
public:
    Caller(asio::io_context &context, CallerOptions options);
    ~Caller();

    /// Schedules every request of \p plan at its start time; run the context to send them.
    /// \p plan must outlive the run.
    void start(const std::vector<PlannedRequest> &plan);

    /// Results by service and kind, for example "orders booking".
    const std::map<std::string, Tally> &tallies() const { return tallies_; }
    const std::map<std::string, BookingOutcome> &bookings() const { return bookings_; }
    const std::map<std::string, bool> &uploads() const { return uploads_; }
    std::size_t uploadBytes() const { return options_.uploadBytes; }

private:
    struct Connection;
    enum class ReplyClass { answered, failed, refused, broken, wrong, partial };
    struct Reply
    {
        ReplyClass replyClass = ReplyClass::broken;
        std::string refusal;
        bool notRun = false;
    };

    void dispatch(const std::vector<PlannedRequest> &plan, Yield yield);
    void sendWithRetries(const PlannedRequest &request, TimePoint start, Yield yield);
    Reply send(const PlannedRequest &request, std::size_t entry, Yield yield);
    HttpRequest buildRequest(const PlannedRequest &request) const;
    Reply classify(const HttpRequest &request, const HttpResponse &response) const;
    std::string requestKey(const PlannedRequest &request) const;
    void pollReadiness(std::size_t entry, Yield yield);
    std::size_t pickEntry(std::uint64_t number) const;
    std::unique_ptr<Connection> connect(std::size_t entry, ErrorCode &error, Yield yield);

    asio::io_context &context_;
    CallerOptions options_;
    std::vector<std::vector<std::unique_ptr<Connection>>> idle_;
    std::vector<bool> ready_; ///< last polled readiness of each entry
    std::size_t unfinished_ = 0;
    std::map<std::string, Tally> tallies_;
    std::map<std::string, BookingOutcome> bookings_;
    std::map<std::string, bool> uploads_; ///< by key: whether it was acknowledged
};

} // namespace kumquat::load
