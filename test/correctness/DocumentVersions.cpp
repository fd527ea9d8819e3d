// Of whole documents the highest version is in force, whatever comes later and however often.
#include "TestSupport.h"
#include "protocol/Codec.h"
#include "state/ControlState.h"

using namespace kumquat;

TEST_GROUP(DocumentVersions)
{
    ConfigurationHistory history;
};

TEST(DocumentVersions, onlyAHigherVersionChangesAnything)
{
    (void)history.applyDocument(7, "seven");
    const std::uint64_t number = history.number();
    for (const auto &later : { std::make_pair(7, "other"), std::make_pair(3, "three") }) {
        const ChangeResult result
            = history.applyDocument(static_cast<std::uint64_t>(later.first), later.second);
        CHECK_TRUE(result.status == ChangeStatus::accepted);
        LONGS_EQUAL(number, result.number);
        STRCMP_EQUAL("seven", history.document().c_str());
    }
    (void)history.applyDocument(12, "twelve");
    LONGS_EQUAL(number + 1, history.number());
    STRCMP_EQUAL("twelve", history.document().c_str());
}

TEST(DocumentVersions, aFolderIsRefusedOnTopOfADocument)
{
    (void)history.applyDocument(7, "seven");
    ConfigurationChange change;
    change.id = "c";
    change.base = history.number();
    CHECK_TRUE(history.apply(change).status == ChangeStatus::refused);
    STRCMP_EQUAL("seven", history.document().c_str());
}

TEST(DocumentVersions, aSnapshotKeepsTheDocumentAndItsVersion)
{
    (void)history.applyDocument(7, "seven");
    const std::string bytes = pack(history);
    const auto restored = unpack<ConfigurationHistory>(bytes);
    CHECK_TRUE(restored.ok());
    LONGS_EQUAL(7, restored->documentVersion());
    STRCMP_EQUAL("seven", restored->document().c_str());
}
