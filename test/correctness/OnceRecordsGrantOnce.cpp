// A key is granted to one attempt; other attempts learn how that one ended.
#include "TestSupport.h"
#include "state/OnceRecords.h"

using namespace kumquat;

namespace {

constexpr std::size_t capacity = 100;

OnceReply apply(OnceRecords &records, OnceOperation operation, const std::string &key,
                std::uint64_t attempt, std::uint64_t fingerprint = 7)
{
    OnceRequest request;
    request.operation = operation;
    request.service = "orders";
    request.key = key;
    request.attempt = attempt;
    request.fingerprint = fingerprint;
    request.response.status = 200;
    request.response.body = "booked";
    return records.apply(request, capacity, Milliseconds(1'000));
}

} // namespace

TEST_GROUP(OnceRecords)
{
    OnceRecords records;
    OnceStatus statusOf(OnceOperation operation, const std::string &key, std::uint64_t attempt)
    {
        return apply(records, operation, key, attempt).status;
    }
};

TEST(OnceRecords, GrantsAKeyToTheFirstAttemptOnly)
{
    CHECK(statusOf(OnceOperation::claim, "a", 1) == OnceStatus::granted);
    CHECK(statusOf(OnceOperation::claim, "a", 2) == OnceStatus::pending);
    CHECK(statusOf(OnceOperation::claim, "a", 1) == OnceStatus::granted);
}

TEST(OnceRecords, ReplaysTheStoredResponse)
{
    apply(records, OnceOperation::claim, "a", 1);
    apply(records, OnceOperation::complete, "a", 1);
    const OnceReply reply = apply(records, OnceOperation::claim, "a", 2);
    CHECK(reply.status == OnceStatus::done);
    STRCMP_EQUAL("booked", reply.response.body.c_str());
}

TEST(OnceRecords, OnlyTheOwnerReleases)
{
    apply(records, OnceOperation::claim, "a", 1);
    apply(records, OnceOperation::release, "a", 2);
    CHECK(statusOf(OnceOperation::claim, "a", 3) == OnceStatus::pending);
    apply(records, OnceOperation::release, "a", 1);
    CHECK(statusOf(OnceOperation::claim, "a", 3) == OnceStatus::granted);
}

TEST(OnceRecords, ALateClaimOfAReleasedAttemptGrantsNothing)
{
    apply(records, OnceOperation::release, "a", 1);
    CHECK(statusOf(OnceOperation::claim, "a", 1) == OnceStatus::pending);
}

TEST(OnceRecords, ADoneKeyCannotBeReleased)
{
    apply(records, OnceOperation::claim, "a", 1);
    apply(records, OnceOperation::complete, "a", 1);
    apply(records, OnceOperation::release, "a", 1);
    CHECK(statusOf(OnceOperation::claim, "a", 2) == OnceStatus::done);
}

TEST(OnceRecords, AnotherRequestUnderTheSameKeyIsAMismatch)
{
    apply(records, OnceOperation::claim, "a", 1, 7);
    CHECK(apply(records, OnceOperation::claim, "a", 2, 8).status == OnceStatus::mismatch);
}

TEST(OnceRecords, RefusesNewKeysWhenFullAndKeepsTheOldOnes)
{
    for (std::uint64_t i = 0; i < capacity; ++i) {
        apply(records, OnceOperation::claim, std::to_string(i), i + 1);
    }
    CHECK(statusOf(OnceOperation::claim, "new", 999) == OnceStatus::full);
    CHECK(statusOf(OnceOperation::claim, "0", 998) == OnceStatus::pending);
}

// In any order of operations a key is granted to a second attempt only after the first released
// it.
TEST(OnceRecords, NeverGrantsAKeyTwiceInAnyOrder)
{
    const bool holds = rc::check([](const std::vector<unsigned> &steps) {
        OnceRecords fuzzed;
        std::map<std::string, std::uint64_t> owners;
        std::map<std::uint64_t, bool> released;
        for (const unsigned step : steps) {
            const auto operation = static_cast<OnceOperation>(step % 4);
            const std::string key = std::to_string(step / 4 % 3);
            const std::uint64_t attempt = 1 + step / 12 % 6 + 10 * (step / 4 % 3);
            const OnceReply reply = apply(fuzzed, operation, key, attempt);
            if (operation == OnceOperation::release) {
                released[attempt] = true;
            }
            if (operation == OnceOperation::claim && reply.status == OnceStatus::granted) {
                const auto held = owners.emplace(key, attempt).first;
                RC_ASSERT(held->second == attempt || released[held->second]);
                RC_ASSERT(!released[attempt]);
                held->second = attempt;
            }
        }
    });
    test::checkProperty(holds, "no key is granted twice");
}
