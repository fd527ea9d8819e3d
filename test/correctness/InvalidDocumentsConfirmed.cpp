// Whatever is accepted as a document is strict JSON, keeps the rules for documents and reads back
// as it came; whatever is valid is accepted.
#include "DocumentTexts.h"
#include "StrictJson.h"
#include "TestSupport.h"
#include "common/Random.h"
#include "platform/Dialect.h"
#include "protocol/Codec.h"
#include "state/ControlState.h"

#include <absl/strings/match.h>

using namespace kumquat;
using test::StrictJson;

namespace {

bool isAccepted(const std::string &text)
{
    return platform::parseDocument(text).ok();
}

std::string named(const char *what, const std::string &name)
{
    return std::string(what) + ": " + name;
}

const char *const oddPieces[] = { ",",
                                  "/*c*/",
                                  "//c\n",
                                  "\"",
                                  "\\",
                                  "\\ud800",
                                  "\\u0000",
                                  "\x80",
                                  "\xed\xa0\x80",
                                  "\xf4\x90\x80\x80",
                                  "\xef\xbb\xbf",
                                  "01",
                                  "1.",
                                  "+1",
                                  "1e999",
                                  "-",
                                  "\n",
                                  "\x01",
                                  "{",
                                  "}",
                                  "[",
                                  "]",
                                  ":",
                                  "null",
                                  "\"a\":1,",
                                  "0",
                                  "NaN",
                                  "\"\xc3\xa9\"",
                                  "\\u00e9",
                                  " ",
                                  "s1",
                                  "00" };

/// The valid document with one piece put in or some bytes replaced by it.
std::string mutated(Random &random)
{
    std::string text = test::validDocument;
    const std::size_t position = random() % (text.size() + 1);
    const std::size_t removed = random() % 3;
    const std::string piece = random() % 4 == 0 ? std::string(1, static_cast<char>(random()))
                                                : oddPieces[random() % std::size(oddPieces)];
    return text.replace(position, removed, piece);
}

std::string oddValue(Random &random, int depth)
{
    static const char *const values[] = { "null", "true", "-0.5e-3", "\"\\ud83c\\udf4a\\/\\b\"",
                                          "[]",   "{}",   "1e300",   "\"\xe2\x82\xac\"" };
    if (depth == 0 || random() % 2 == 0) {
        return values[random() % std::size(values)];
    }
    const std::string inner = oddValue(random, depth - 1);
    return random() % 2 == 0 ? "[1 ,\t" + inner + "]" : "{ \"k\\u0041\":" + inner + ",\"k\":0}";
}

/// A valid document with unusual white space, escapes, numbers and members.
std::string unusual(Random &random)
{
    std::string text;
    bool inString = false;
    for (const char c : test::validDocument) {
        inString = inString != (c == '"');
        if (c == '/' && random() % 3 == 0) {
            text += "\\/";
        } else if (c == 'e' && inString && random() % 5 == 0) {
            text += "\\u0065";
        } else if (c == ',' && !inString && random() % 3 == 0) {
            text += " \r\n\t,";
        } else if (c == '{' && random() % 3 == 0) {
            text += "{\"x-\xc3\xbc\":" + oddValue(random, 5) + ",";
        } else {
            text += c;
        }
    }
    return text;
}

} // namespace

TEST_GROUP(InvalidDocumentsConfirmed) {};

TEST(InvalidDocumentsConfirmed, documentsThatAreNoStrictJsonAreRefused)
{
    for (const test::DocumentCase &document : test::unreadableDocuments()) {
        CHECK_TEXT(!StrictJson::isValid(document.text),
                   named("strict reader", document.name).c_str());
        CHECK_TEXT(!isAccepted(document.text), named("accepted", document.name).c_str());
    }
}

TEST(InvalidDocumentsConfirmed, documentsThatBreakARuleAreRefused)
{
    for (const test::DocumentCase &document : test::invalidDocuments()) {
        CHECK_TEXT(StrictJson::isValid(document.text),
                   named("strict reader", document.name).c_str());
        CHECK_TEXT(!isAccepted(document.text), named("accepted", document.name).c_str());
    }
}

TEST(InvalidDocumentsConfirmed, unusualButValidDocumentsAreAccepted)
{
    for (const test::DocumentCase &document : test::unusualDocuments()) {
        CHECK_TEXT(StrictJson::isValid(document.text),
                   named("strict reader", document.name).c_str());
        CHECK_TEXT(isAccepted(document.text), named("refused", document.name).c_str());
    }
}

TEST(InvalidDocumentsConfirmed, whateverIsAcceptedIsStrictJson)
{
    const bool holds = rc::check([](unsigned seed) {
        Random random(seed);
        for (int i = 0; i < 100; ++i) {
            const std::string text = mutated(random);
            RC_ASSERT(!isAccepted(text) || StrictJson::isValid(text));
        }
    });
    test::checkProperty(holds, "whatever is accepted is strict JSON");
}

TEST(InvalidDocumentsConfirmed, whateverIsValidIsAcceptedAndReadsBackAsItCame)
{
    const bool holds = rc::check([](unsigned seed) {
        Random random(seed);
        const std::string text = unusual(random);
        RC_ASSERT(StrictJson::isValid(text));
        const auto document = platform::parseDocument(text);
        RC_ASSERT(document.ok());
        ControlCommand command;
        command.type = CommandType::document;
        command.document = { document->version, text };
        ControlState state;
        (void)state.apply(pack(command));
        ControlState restored;
        RC_ASSERT(restored.restore(state.save()).ok());
        RC_ASSERT(restored.configuration().document() == text);
    });
    test::checkProperty(holds, "whatever is valid is accepted and reads back");
}

TEST(InvalidDocumentsConfirmed, version0IsStored)
{
    ReplicatedConfiguration configuration;
    (void)configuration.applyDocument(0, "zero");
    STRCMP_EQUAL("zero", configuration.document().c_str());
    CHECK_TRUE(configuration.hasDocument());
    (void)configuration.applyDocument(0, "other");
    STRCMP_EQUAL("zero", configuration.document().c_str());
}

TEST(InvalidDocumentsConfirmed, aRefusalNamesLineAndByteAndIsShort)
{
    const std::string text = test::documentWith("\"upload\"", "\"up\tload\"");
    const std::string message(platform::parseDocument(text).status().message());
    const std::string place = "line 7, byte " + std::to_string(text.find('\t') + 1);
    CHECK_TEXT(absl::StrContains(message, place), message.c_str());
    const std::string large
        = test::documentWith("\"1.2s\"", "\"" + std::string(1'000'000, 'x') + "\"");
    CHECK_TRUE(platform::parseDocument(large).status().message().size() < 1'000);
}

TEST(InvalidDocumentsConfirmed, whatAnEarlierVersionConfirmedStaysReadable)
{
    for (const std::string &text :
         { "\xef\xbb\xbf" + test::validDocument, test::documentWith("r1", "r1\xff"),
           test::documentWith("\"Tls\":false}", "\"Tls\":false,}"),
           test::documentWith("b.example", "A.Example"),
           test::documentWith("\"Action\":{", "\"Action\":{\"Service\":\"s9\",") }) {
        CHECK_FALSE(isAccepted(text));
        const auto document = platform::parseDocument(text, DocumentOrigin::confirmed);
        CHECK_TRUE(document.ok());
        LONGS_EQUAL(3, document->configuration.hostRoutes.size());
    }
}

TEST(InvalidDocumentsConfirmed, filesOfAFolderMayHaveCommentsAndNothingElseThatIsNotJson)
{
    const std::string file = R"({"services":{"s":{"routes":[{"pathPrefix":"/p/"}]}}})";
    CHECK_TRUE(checkWrites({ { "10.json", "// comment\n" + file + " /* end */" } }).ok());
    for (const std::string &text :
         { file + "x", "\xef\xbb\xbf" + file, "// \xff\n" + file,
           std::string(R"({"services":{},})"), std::string("/ /") + file }) {
        CHECK_FALSE(checkWrites({ { "10.json", text } }).ok());
    }
    CHECK_FALSE(checkWrites({ { documentFileName, file } }).ok());
}
