// A key is granted to one attempt; everyone else learns how that attempt ended.
#include "TestSupport.h"
#include "state/OnceRecords.h"

using namespace kumquat;

namespace {

constexpr std::size_t capacity = 100;

OnceReply ask(OnceRecords &records, OnceOperation operation, const std::string &key,
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
    OnceVerdict verdict(OnceOperation operation, const std::string &key, std::uint64_t attempt)
    {
        return ask(records, operation, key, attempt).verdict;
    }
};

TEST(OnceRecords, GrantsAKeyToTheFirstAttemptOnly)
{
    CHECK(verdict(OnceOperation::claim, "a", 1) == OnceVerdict::granted);
    CHECK(verdict(OnceOperation::claim, "a", 2) == OnceVerdict::pending);
    CHECK(verdict(OnceOperation::claim, "a", 1) == OnceVerdict::granted);
}

TEST(OnceRecords, ReplaysTheStoredAnswer)
{
    ask(records, OnceOperation::claim, "a", 1);
    ask(records, OnceOperation::complete, "a", 1);
    const OnceReply reply = ask(records, OnceOperation::claim, "a", 2);
    CHECK(reply.verdict == OnceVerdict::done);
    STRCMP_EQUAL("booked", reply.response.body.c_str());
}

TEST(OnceRecords, OnlyTheOwnerReleases)
{
    ask(records, OnceOperation::claim, "a", 1);
    ask(records, OnceOperation::release, "a", 2);
    CHECK(verdict(OnceOperation::claim, "a", 3) == OnceVerdict::pending);
    ask(records, OnceOperation::release, "a", 1);
    CHECK(verdict(OnceOperation::claim, "a", 3) == OnceVerdict::granted);
}

TEST(OnceRecords, ALateClaimOfAReleasedAttemptGrantsNothing)
{
    ask(records, OnceOperation::release, "a", 1);
    CHECK(verdict(OnceOperation::claim, "a", 1) == OnceVerdict::pending);
}

TEST(OnceRecords, ADoneKeyCannotBeReleased)
{
    ask(records, OnceOperation::claim, "a", 1);
    ask(records, OnceOperation::complete, "a", 1);
    ask(records, OnceOperation::release, "a", 1);
    CHECK(verdict(OnceOperation::claim, "a", 2) == OnceVerdict::done);
}

TEST(OnceRecords, AnotherRequestUnderTheSameKeyIsAnError)
{
    ask(records, OnceOperation::claim, "a", 1, 7);
    CHECK(ask(records, OnceOperation::claim, "a", 2, 8).verdict == OnceVerdict::mismatch);
}

TEST(OnceRecords, RefusesNewKeysWhenFullAndForgetsNone)
{
    for (std::uint64_t i = 0; i < capacity; ++i) {
        ask(records, OnceOperation::claim, std::to_string(i), i + 1);
    }
    CHECK(verdict(OnceOperation::claim, "new", 999) == OnceVerdict::full);
    CHECK(verdict(OnceOperation::claim, "0", 998) == OnceVerdict::pending);
}

// Any order of operations: per key, a grant to a second attempt needs a release by the first.
TEST(OnceRecords, NeverGrantsTwiceInAnyOrder)
{
    const bool holds = rc::check([](const std::vector<unsigned> &steps) {
        OnceRecords fuzzed;
        std::map<std::string, std::uint64_t> owner;
        std::map<std::uint64_t, bool> released;
        for (const unsigned step : steps) {
            const auto operation = static_cast<OnceOperation>(step % 4);
            const std::string key = std::to_string(step / 4 % 3);
            const std::uint64_t attempt = 1 + step / 12 % 6 + 10 * (step / 4 % 3);
            const OnceReply reply = ask(fuzzed, operation, key, attempt);
            if (operation == OnceOperation::release) {
                released[attempt] = true;
            }
            if (operation == OnceOperation::claim && reply.verdict == OnceVerdict::granted) {
                const auto held = owner.emplace(key, attempt).first;
                RC_ASSERT(held->second == attempt || released[held->second]);
                RC_ASSERT(!released[attempt]);
                held->second = attempt;
            }
        }
    });
    test::checkProperty(holds, "no key is granted twice");
}
