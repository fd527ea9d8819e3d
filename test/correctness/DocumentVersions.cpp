// The whole document with the highest version is in force, whatever order documents arrive in.
#include "TestSupport.h"
#include "protocol/Codec.h"
#include "state/ControlState.h"

using namespace kumquat;

TEST_GROUP(DocumentVersions)
{
    ReplicatedConfiguration configuration;
};

TEST(DocumentVersions, onlyAHigherVersionReplacesTheDocument)
{
    (void)configuration.applyDocument(7, "seven");
    const std::uint64_t number = configuration.number();
    for (const auto &later : { std::make_pair(7, "other"), std::make_pair(3, "three") }) {
        const ChangeResult result
            = configuration.applyDocument(static_cast<std::uint64_t>(later.first), later.second);
        CHECK_TRUE(result.status == ChangeStatus::accepted);
        LONGS_EQUAL(number, result.number);
        STRCMP_EQUAL("seven", configuration.document().c_str());
    }
    (void)configuration.applyDocument(12, "twelve");
    LONGS_EQUAL(number + 1, configuration.number());
    STRCMP_EQUAL("twelve", configuration.document().c_str());
}

TEST(DocumentVersions, aChangeOfFilesIsRefusedWhileADocumentIsInForce)
{
    (void)configuration.applyDocument(7, "seven");
    ConfigurationChange change;
    change.id = "c";
    change.base = configuration.number();
    CHECK_TRUE(configuration.apply(change).status == ChangeStatus::refused);
    STRCMP_EQUAL("seven", configuration.document().c_str());
}

TEST(DocumentVersions, aSnapshotKeepsTheDocumentAndItsVersion)
{
    (void)configuration.applyDocument(7, "seven");
    const std::string bytes = pack(configuration);
    const auto restored = unpack<ReplicatedConfiguration>(bytes);
    CHECK_TRUE(restored.ok());
    LONGS_EQUAL(7, restored->documentVersion());
    STRCMP_EQUAL("seven", restored->document().c_str());
}
