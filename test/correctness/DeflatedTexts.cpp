// Compressed texts decompress to the original; corrupt or oversized input is rejected.
#include "TestSupport.h"
#include "common/Deflate.h"

using namespace kumquat;

namespace {

constexpr std::size_t limit = 1'000'000;

} // namespace

TEST_GROUP(DeflatedTexts) {};

TEST(DeflatedTexts, decompressionRestoresTheText)
{
    for (const std::size_t length : { 0U, 1U, 400'000U }) {
        const std::string text(length, 'r');
        const auto restored = inflateText(deflateText(text), limit);
        CHECK_TRUE(restored.ok());
        CHECK_TRUE(*restored == text);
    }
}

TEST(DeflatedTexts, aDocumentShrinksToLessThanAQuarter)
{
    std::string text;
    for (int i = 0; i < 2'000; ++i) {
        text += R"({"Name":"r-)" + std::to_string(i * 7919) + R"(","RouteType":"safe"},)";
    }
    CHECK_TRUE(deflateText(text).size() * 4 < text.size());
}

TEST(DeflatedTexts, truncatedOrCorruptBytesAreRejected)
{
    const std::string bytes = deflateText(std::string(1'000, 'r'));
    CHECK_FALSE(inflateText(bytes.substr(0, 5), limit).ok());
    CHECK_FALSE(inflateText(bytes.substr(0, bytes.size() - 3), limit).ok());
    std::string wrongLength = bytes;
    ++wrongLength[0];
    CHECK_FALSE(inflateText(wrongLength, limit).ok());
}

TEST(DeflatedTexts, aTextAboveTheLimitIsRejected)
{
    CHECK_FALSE(inflateText(deflateText(std::string(1'000, 'r')), 999).ok());
}
