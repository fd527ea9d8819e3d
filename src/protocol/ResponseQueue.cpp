#include "protocol/ResponseQueue.h"

#include <algorithm>

namespace kumquat {

PendingResponsePtr ResponseQueue::add(bool isHeadRequest)
{
    auto pending = std::make_shared<PendingResponse>();
    pending->isHeadRequest = isHeadRequest;
    pending_.push_back(pending);
    return pending;
}

void ResponseQueue::complete(const PendingResponsePtr &pending, HttpResponse response)
{
    if (isDisconnected()) {
        remove(pending);
        return;
    }
    heldBytes_ += response.body().size();
    pending->response = std::move(response);
    pending->isReady = true;
}

void ResponseQueue::remove(const PendingResponsePtr &pending)
{
    pending->isEnded = true;
    const auto found = std::find(pending_.begin(), pending_.end(), pending);
    if (found == pending_.end()) {
        return;
    }
    heldBytes_ -= pending->response.body().size();
    pending_.erase(found);
}

PendingResponsePtr ResponseQueue::takeReady()
{
    if (pending_.empty() || !pending_.front()->isReady) {
        return nullptr;
    }
    PendingResponsePtr first = pending_.front();
    heldBytes_ -= first->response.body().size();
    pending_.pop_front();
    return first;
}

void ResponseQueue::watchDisconnect(const PendingResponsePtr &pending, OnDisconnect onDisconnect)
{
    if (disconnected_) {
        onDisconnect(*disconnected_);
        return;
    }
    pending->onDisconnect = std::move(onDisconnect);
}

// The callbacks may remove requests, so they are called on a copy.
void ResponseQueue::disconnect(DropCause cause)
{
    disconnected_ = cause;
    const std::deque<PendingResponsePtr> notified = pending_;
    for (const PendingResponsePtr &pending : notified) {
        if (pending->isReady) {
            remove(pending);
        }
        const OnDisconnect onDisconnect = std::move(pending->onDisconnect);
        pending->onDisconnect = nullptr;
        if (onDisconnect) {
            onDisconnect(cause);
        }
    }
}

} // namespace kumquat
