// Pipelined requests of a caller's connection: their responses, in order, and what ends them.
#include "protocol/CallerConnection.h"
#include "protocol/Refusal.h"
#include "transport/Spawn.h"

namespace kumquat {

bool CallerConnection::canReadAhead()
{
    return keepsAlive() && !responses_.isDisconnected();
}

ResponseChannel CallerConnection::readAhead()
{
    wasPipelined_ = true;
    reusable_ = true;
    const auto self = shared_from_this();
    const auto pending = responses_.add(header().method() == http::verb::head);
    ResponseChannel channel;
    channel.write = [self, pending](HttpResponse response, Yield yield) {
        self->responses_.complete(pending, std::move(response));
        self->sendUntilEnd(*pending, yield);
    };
    channel.writeInParts = [self, pending](HttpResponse response, PartPacing pacing, Yield yield) {
        pending->pacing = std::move(pacing);
        self->responses_.complete(pending, std::move(response));
        self->sendUntilEnd(*pending, yield);
    };
    channel.watchDisconnect = [self, pending](OnDisconnect onDisconnect) {
        self->responses_.watchDisconnect(pending, std::move(onDisconnect));
    };
    channel.stopWatching = [pending] { pending->onDisconnect = nullptr; };
    channel.fail = [self, pending](Yield yield) { self->failPending(pending, yield); };
    channel.abort = [self, pending](DropCause cause) {
        if (!pending->isEnded) {
            self->abortPending(pending, cause);
        }
    };
    return channel;
}

// The request has no coroutine left that could write its response.
void CallerConnection::abortPending(const PendingResponsePtr &pending, DropCause cause)
{
    const auto end = [self = shared_from_this(), pending, cause] {
        if (!pending->isEnded) {
            self->endPipeline(cause);
            self->responses_.remove(pending);
        }
    };
    if (pending->isReady || responses_.isDisconnected()) {
        end();
        return;
    }
    spawnOn(
        context_,
        [self = shared_from_this(), pending](Yield yield) { self->failPending(pending, yield); },
        end);
}

// One request that fails must not cost the others of its connection their responses.
void CallerConnection::failPending(const PendingResponsePtr &pending, Yield yield)
{
    pending->onDisconnect = nullptr;
    if (pending->isEnded) {
        return;
    }
    if (pending->isReady) {
        endPipeline(DropCause::handlerFailed);
        responses_.remove(pending);
        return;
    }
    responses_.complete(pending, refusal(RefusalReason::internalError, RunOutcome::unknown));
    sendUntilEnd(*pending, yield);
}

ResponseChannel CallerConnection::channel()
{
    const auto self = shared_from_this();
    ResponseChannel channel;
    channel.write = [self](HttpResponse response, Yield yield) {
        (void)self->writeResponse(std::move(response), yield);
    };
    channel.writeInParts = [self](HttpResponse response, const PartPacing &pacing, Yield yield) {
        (void)self->writeResponse(std::move(response), yield, pacing);
    };
    channel.watchDisconnect
        = [self](OnDisconnect onDisconnect) { self->watchDisconnect(std::move(onDisconnect)); };
    channel.stopWatching = [self] { self->stopWatching(); };
    channel.abort = [self](DropCause cause) { self->abort(cause); };
    channel.fail = [self](Yield yield) { self->respondFailed(yield); };
    return channel;
}

bool CallerConnection::awaitResponses(Yield yield)
{
    isRequestWaiting_ = true;
    awaitPending(yield);
    isRequestWaiting_ = false;
    return !closing_ && !responses_.isDisconnected();
}

void CallerConnection::awaitPending(Yield yield)
{
    waitWhile([this] { return hasPendingResponses(); }, yield);
}

void CallerConnection::waitForRoom(Yield yield)
{
    waitWhile([this] { return responses_.isFull() && !responses_.isDisconnected(); }, yield);
}

// Nothing else reads meanwhile, which would show that the caller has disconnected.
void CallerConnection::waitWhile(const std::function<bool()> &condition, Yield yield)
{
    if (!condition()) {
        return;
    }
    watchDisconnect([this](DropCause cause) { dropResponses(cause); });
    ErrorCode ignored;
    while (condition()) {
        responsesChanged_.async_wait(yield[ignored]);
    }
    stopWatching();
}

// Sends what is ready until \p pending was sent or dropped. What a response holds of the memory is
// given back by its request, which so lasts as long as the response.
void CallerConnection::sendUntilEnd(const PendingResponse &pending, Yield yield)
{
    ErrorCode ignored;
    while (!pending.isEnded) {
        const PendingResponsePtr next = isSending_ ? nullptr : responses_.takeReady();
        if (next) {
            sendPending(*next, yield);
        } else {
            responsesChanged_.async_wait(yield[ignored]);
        }
    }
    responsesChanged_.cancel();
    if (idle_ && !hasPendingResponses()) {
        closeWhenIdleFor(hooks_.limits().idleTimeout);
    }
}

// During a planned stop only the last response closes the connection, since requests behind a
// response that closes it count as not read.
void CallerConnection::sendPending(PendingResponse &next, Yield yield)
{
    isSending_ = true;
    const bool isLast = responses_.isEmpty() && !isRequestWaiting_ && !mayReadNext();
    closing_ = closing_ || isLast;
    sayWhetherKept(next.response, !closing_);
    const ErrorCode error = writeMessage(next.response, next.isHeadRequest, next.pacing, yield);
    next.response = {};
    next.isEnded = true;
    isSending_ = false;
    if (error) {
        hooks_.responsesDropped(dropCauseOf(error), 1);
        endPipeline(dropCauseOf(error));
    } else if (closing_) {
        endPipeline(DropCause::handlerFailed);
    }
    responsesChanged_.cancel();
}

// Ends the wait for the next request. Requests whose response is still pending lose their caller.
void CallerConnection::endPipeline(DropCause cause)
{
    closing_ = true;
    dropResponses(cause);
    stream_.cancel();
    nextPart_.cancel();
}

void CallerConnection::dropResponses(DropCause cause)
{
    if (responses_.size() > 0 && !responses_.isDisconnected()) {
        hooks_.responsesDropped(cause, responses_.size());
    }
    responses_.disconnect(cause);
    responsesChanged_.cancel();
}

} // namespace kumquat
