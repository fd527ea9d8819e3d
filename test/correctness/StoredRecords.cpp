// Files of records: records larger than a part that is read, torn tails, damage, and bounded work.
#include "TestSupport.h"
#include "state/RecordFile.h"

using namespace kumquat;

namespace {

std::string fileOf(const std::vector<std::string> &records)
{
    std::string content;
    for (const std::string &record : records) {
        content += frameRecord(record);
    }
    return content;
}

} // namespace

TEST_GROUP(StoredRecords) {};

TEST(StoredRecords, readsRecordsOfAnyLength)
{
    const std::vector<std::string> records { "a", std::string(1024 * 1024 - 9, 'b'),
                                             std::string(3'000'000, 'c'), "d",
                                             std::string(2'000'000, 'e') };
    const std::string content = fileOf(records);
    const RecordFileContent read = readRecords(content);
    CHECK(read.records == records);
    CHECK_EQUAL(content.size(), read.validBytes);
    CHECK_FALSE(read.damaged);
}

TEST(StoredRecords, tornTailIsNoDamage)
{
    const std::string content = fileOf({ "first", "second" });
    const std::string torn = content + frameRecord(std::string(300'000, 'x')).substr(0, 200'000);
    const RecordFileContent read = readRecords(torn);
    CHECK_EQUAL(2U, read.records.size());
    CHECK_EQUAL(content.size(), read.validBytes);
    CHECK_FALSE(read.damaged);
}

TEST(StoredRecords, validRecordAfterAnInvalidOneIsDamage)
{
    for (const std::size_t changed : { 0U, 5U, 12U, 1'500'000U }) {
        std::string content = fileOf({ std::string(2'000'000, 'x'), "second" });
        content[changed] ^= 1;
        const RecordFileContent read = readRecords(content);
        CHECK_EQUAL(0U, read.records.size());
        CHECK(read.damaged);
    }
}

// The search took a time that grew with the square of the tail.
TEST(StoredRecords, searchBehindATornTailEnds)
{
    std::string tail;
    while (tail.size() < 4'000'000) {
        tail += std::string("\x01\x02\x01\0", 4);
    }
    const std::string content = fileOf({ "first" });
    const RecordFileContent read = readRecords(content + tail);
    CHECK_EQUAL(content.size(), read.validBytes);
    CHECK(read.damaged); // not told apart within the bound, so nothing is cut off
}
