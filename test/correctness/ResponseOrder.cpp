// Responses of a pipelined connection: their order, their bounds, and what a disconnect drops.
#include "TestSupport.h"
#include "protocol/ResponseQueue.h"

using namespace kumquat;

namespace {

HttpResponse responseOf(std::size_t bytes)
{
    HttpResponse response(http::status::ok, 11);
    response.body() = std::string(bytes, 'x');
    return response;
}

} // namespace

TEST_GROUP(ResponseOrder) {};

TEST(ResponseOrder, responsesKeepTheOrderOfTheRequests)
{
    ResponseQueue queue;
    const auto first = queue.add(false);
    const auto second = queue.add(true);
    queue.complete(second, responseOf(2));
    CHECK(queue.takeReady() == nullptr);
    queue.complete(first, responseOf(1));
    CHECK(queue.takeReady() == first);
    CHECK(queue.takeReady() == second);
    CHECK(queue.isEmpty());
}

TEST(ResponseOrder, aRemovedRequestHoldsNoOtherUp)
{
    ResponseQueue queue;
    const auto first = queue.add(false);
    const auto second = queue.add(false);
    queue.complete(second, responseOf(1));
    queue.remove(first);
    CHECK(queue.takeReady() == second);
}

TEST(ResponseOrder, isFullByRequestsAndByBytes)
{
    ResponseQueue queue;
    const auto first = queue.add(false);
    CHECK_FALSE(queue.isFull());
    queue.complete(first, responseOf(ResponseQueue::maxHeldBytes));
    CHECK(queue.isFull());
    (void)queue.takeReady();
    for (std::size_t i = 0; i < ResponseQueue::maxPending; ++i) {
        CHECK_FALSE(queue.isFull());
        (void)queue.add(false);
    }
    CHECK(queue.isFull());
}

// A response that is ready behind one that never comes must not keep the connection open.
TEST(ResponseOrder, aDisconnectNotifiesAllAndDropsWhatIsReady)
{
    ResponseQueue queue;
    int notified = 0;
    const auto first = queue.add(false);
    const auto second = queue.add(false);
    const auto third = queue.add(false);
    const auto removeAndCount = [&](const PendingResponsePtr &pending) {
        ++notified;
        queue.remove(pending);
    };
    queue.watchDisconnect(first, [&](DropCause) { removeAndCount(first); });
    queue.complete(second, responseOf(10));
    queue.disconnect(DropCause::callerClosed);
    CHECK_EQUAL(1, notified);
    queue.watchDisconnect(third, [&](DropCause) { removeAndCount(third); });
    CHECK_EQUAL(2, notified);
    CHECK(queue.isEmpty());
    const auto late = queue.add(false);
    queue.complete(late, responseOf(10));
    CHECK(queue.isEmpty());
}
