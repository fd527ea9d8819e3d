#pragma once
/// \file
/// Sends planned requests as callers would: open loop, with keep-alive and resends of bookings.
/// It checks that each answer is whole and belongs to the request that it answers.

#include "Plan.h"
#include "transport/Address.h"
#include "transport/HttpServer.h"

#include <map>
#include <memory>

namespace kumquat::load {

/// What became of one kind of request at one service.
struct Tally
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t wrong = 0; ///< another's answer
    std::uint64_t partial = 0; ///< less than the whole, passed as whole
    std::uint64_t broken = 0; ///< the connection ended without a whole answer
    std::uint64_t failed = 0; ///< a target's own error, passed on
    std::map<std::string, std::uint64_t> refused; ///< by reason and outcome
    std::vector<double> latenciesMs; ///< of answered requests, from the intended start
};

/// What callers were told of a booking, over all its sendings.
struct BookingOutcome
{
    bool answered = false;
    bool mayHaveRun = false; ///< told `unknown`, or nothing
};

struct CallerOptions
{
    std::vector<Address> entries;
    Milliseconds deadline { 2'000 };
    std::size_t uploadBytes = 1'000'000;
    bool checksReadiness = true; ///< ask the entries whether they are ready, as a balancer would
    int maxBookingSends = 4; ///< the first included
    std::string runId; ///< part of every key
};

class Caller
{
public:
    Caller(asio::io_context &context, CallerOptions options);
    ~Caller();

    /// Starts all of \p plan at its times; run the context to carry it out.
    void start(const std::vector<PlannedRequest> &plan);

    /// By "service kind".
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
    std::vector<bool> ready_; ///< what the platform's balancer would know of each entry
    std::size_t unfinished_ = 0;
    std::map<std::string, Tally> tallies_;
    std::map<std::string, BookingOutcome> bookings_;
    std::map<std::string, bool> uploads_; ///< by key: was it acknowledged
};

} // namespace kumquat::load
