// Target records merge to the same table in any order, and a late renewal does not undo a drain.
#include "TestSupport.h"
#include "coordination/membership/TargetTable.h"

#include <algorithm>
#include <random>

using namespace kumquat;

namespace {

TargetRecord record(const std::string &name, std::uint64_t incarnation, TargetState state,
                    std::uint64_t version = 0)
{
    TargetRecord result;
    result.name = name;
    result.incarnation = incarnation;
    result.state = state;
    result.version = version;
    return result;
}

} // namespace

TEST_GROUP(TargetTableMerges)
{
    TargetTable table;
    TimePoint now { Seconds(1) };
};

TEST(TargetTableMerges, ADrainIsNotUndoneByALateRenewal)
{
    table.merge(record("a", 1, TargetState::ready), now);
    table.merge(record("a", 1, TargetState::draining, 5), now);
    table.merge(record("a", 1, TargetState::ready, 9), now);
    CHECK(table.find("a")->state == TargetState::draining);
}

TEST(TargetTableMerges, ARestartedTargetComesBackUnderAHigherIncarnation)
{
    table.merge(record("a", 1, TargetState::gone), now);
    CHECK(table.merge(record("a", 2, TargetState::ready), now));
    CHECK(table.find("a")->state == TargetState::ready);
}

TEST(TargetTableMerges, ARenewalAloneIsNoChange)
{
    table.merge(record("a", 1, TargetState::ready, 1), now);
    const TargetTable::Digest before = table.digest();
    CHECK_FALSE(table.merge(record("a", 1, TargetState::ready, 2), now));
    CHECK(before == table.digest());
}

TEST(TargetTableMerges, GoneRecordsAreRemovedOnlyAfterTheirRetention)
{
    table.merge(record("a", 1, TargetState::gone), now);
    table.removeExpired(now + TargetTable::goneRetention / 2);
    LONGS_EQUAL(1, table.size());
    table.removeExpired(now + TargetTable::goneRetention * 2);
    LONGS_EQUAL(0, table.size());
}

// Each target must end with its greatest record by (incarnation, state, version).
TEST(TargetTableMerges, AnyOrderOfDeliveryEndsInTheSameTable)
{
    const bool holds = rc::check([this](const std::vector<unsigned> &steps, unsigned seed) {
        std::vector<TargetRecord> records;
        for (const unsigned step : steps) {
            records.push_back(record(std::to_string(step % 3), 1 + step / 3 % 3,
                                     static_cast<TargetState>(step / 9 % 4), step / 36 % 3));
        }
        TargetTable forward;
        TargetTable shuffled;
        for (const TargetRecord &item : records) {
            forward.merge(item, now);
        }
        std::shuffle(records.begin(), records.end(), std::mt19937(seed));
        for (const TargetRecord &item : records) {
            shuffled.merge(item, now);
            shuffled.merge(item, now);
        }
        RC_ASSERT(forward.digest() == shuffled.digest());
        for (const TargetRecord &item : records) {
            RC_ASSERT(!supersedes(item, *shuffled.find(item.name)));
        }
    });
    test::checkProperty(holds, "merges commute");
}
