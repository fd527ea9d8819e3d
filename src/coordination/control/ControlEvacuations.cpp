// The part of ControlServer for evacuations of failure domains: operators' orders, and what the
// feed tells entries of them.
#include "common/JsonReader.h"
#include "coordination/control/ControlServer.h"
#include "kumquat/Event.h"
#include "kumquat/TargetRecord.h"
#include "protocol/PercentCode.h"
#include "protocol/Wire.h"

namespace kumquat {

namespace {

/// Leaves a member that forwards an order time to respond after the entries were waited for.
constexpr Milliseconds evacuationCommitTimeout { 900 };

HttpResponse notConfirmedResponse(const EvacuationOrder &order)
{
    logEvent(Event::evacuationNotConfirmed, LogLevel::warning, "withdrawal={} domain={}",
             order.isWithdrawal, order.failureDomain);
    return errorResponse(http::status::service_unavailable,
                         makeError(ErrorKind::unavailable,
                                   "the group has not committed the order yet",
                                   "send it again, to any member"));
}

HttpResponse tooManyOrdersResponse(const EvacuationOrder &order)
{
    logEvent(Event::evacuationNotConfirmed, LogLevel::warning,
             "withdrawal={} domain={} the leader has {} uncommitted orders", order.isWithdrawal,
             order.failureDomain, EvacuationProposals::maxPending);
    return errorResponse(http::status::service_unavailable,
                         makeError(ErrorKind::unavailable,
                                   "the leader has too many orders that are not committed",
                                   "send it again once a majority of the members is up"));
}

/// Fails with ErrorKind::badMessage.
absl::StatusOr<std::string> parseFailureDomain(const std::string &path)
{
    const auto name = decodePercent(path.substr(sizeof(wire::evacuationsPath) - 1));
    if (!name || name->empty() || !isPlainText(*name)) {
        return makeError(ErrorKind::badMessage,
                         "the failure domain is empty, too long or not plain text",
                         "name it in the path, percent-encoded, as targets announce it");
    }
    return *name;
}

} // namespace

HttpResponse ControlServer::handleEvacuation(const HttpRequest &request, Yield yield)
{
    const bool isWithdrawal = request.method() == http::verb::delete_;
    if (!isWithdrawal && request.method() != http::verb::put) {
        return errorResponse(http::status::method_not_allowed,
                             makeError(ErrorKind::badMessage,
                                       "the method is neither PUT nor DELETE",
                                       "see the table of paths in docs/OPERATORS.md"));
    }
    const auto failureDomain = parseFailureDomain(std::string(request.target()));
    if (!failureDomain.ok()) {
        return errorResponse(http::status::bad_request, failureDomain.status());
    }
    return node_->raft().isLeader() ? orderEvacuation({ *failureDomain, isWithdrawal }, yield)
                                    : forwardToLeader(request, yield);
}

HttpResponse ControlServer::orderEvacuation(const EvacuationOrder &order, Yield yield)
{
    const auto proposal = proposeEvacuation(order);
    if (!proposal) {
        return tooManyOrdersResponse(order);
    }
    if (!waitForProposal(*proposal, evacuationCommitTimeout, yield)) {
        return notConfirmedResponse(order);
    }
    const EvacuationResult result = (*proposal->result)->evacuation;
    if (!result.accepted) {
        return errorResponse(http::status::bad_request,
                             makeError(ErrorKind::badMessage,
                                       "too many failure domains are evacuated already",
                                       "end the evacuations that are no longer needed"));
    }
    return awaitEvacuation(order, result, yield);
}

// An order that is sent again while the first copy is uncommitted waits for that copy, so that the
// log does not grow while the group cannot commit.
std::shared_ptr<SharedProposal> ControlServer::proposeEvacuation(const EvacuationOrder &order)
{
    const std::uint64_t term = node_->raft().term();
    if (const auto known = evacuationProposals_.find(order, term)) {
        return known;
    }
    const auto proposal = evacuationProposals_.add(order, term);
    if (!proposal) {
        return nullptr;
    }
    ControlCommand command;
    command.type = CommandType::evacuation;
    command.evacuation = order;
    node_->propose(std::move(command),
                   [this, order, proposal](absl::StatusOr<ControlResult> result) {
                       finishEvacuation(order, proposal, std::move(result));
                   });
    return proposal;
}

void ControlServer::finishEvacuation(const EvacuationOrder &order,
                                     const std::shared_ptr<SharedProposal> &proposal,
                                     absl::StatusOr<ControlResult> result)
{
    if (result.ok() && result->evacuation.accepted) {
        ++evacuationOrders_;
        logEvent(Event::evacuationConfirmed, LogLevel::info, "withdrawal={} number={} domain={}",
                 order.isWithdrawal, result->evacuation.number, order.failureDomain);
    }
    completeProposal(*proposal, std::move(result));
    evacuationProposals_.remove(proposal);
}

// The order is confirmed, so entries that are slow to take it do not fail it.
HttpResponse ControlServer::awaitEvacuation(const EvacuationOrder &order,
                                            const EvacuationResult &result, Yield yield)
{
    const bool inForce
        = registry_->waitForEvacuations({ node_->raft().epoch(), result.number }, yield);
    if (!inForce) {
        logEvent(Event::evacuationNotInForce, LogLevel::warning,
                 "withdrawal={} number={} domain={}", order.isWithdrawal, result.number,
                 order.failureDomain);
    }
    Json::Value body;
    body["number"] = Json::UInt64(result.number);
    body["inForce"] = inForce;
    return textResponse(http::status::ok, writeJson(body) + "\n");
}

ConfigurationVersion ControlServer::evacuationsVersion() const
{
    return { node_->raft().epoch(), node_->state().evacuations().number() };
}

bool ControlServer::hasNewerEvacuations(const FeedPoll &poll) const
{
    if (poll.isMember || !poll.tracksEvacuations) {
        return false;
    }
    const ConfigurationVersion current = evacuationsVersion();
    const ConfigurationVersion known { poll.evacuationEpoch, poll.evacuationNumber };
    return known < current && (known.epoch == current.epoch || node_->raft().isLeader());
}

void ControlServer::attachEvacuations(const FeedPoll &poll, FeedResponse &response) const
{
    const ConfigurationVersion current = evacuationsVersion();
    const ConfigurationVersion known { poll.evacuationEpoch, poll.evacuationNumber };
    if (!poll.tracksEvacuations || !(known < current)) {
        return;
    }
    const std::set<std::string> &domains = node_->state().evacuations().failureDomains();
    response.evacuationEpoch = current.epoch;
    response.evacuationNumber = current.number;
    response.evacuatedDomains.assign(domains.begin(), domains.end());
}

} // namespace kumquat
