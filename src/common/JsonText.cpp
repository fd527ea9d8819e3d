#include "common/JsonText.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <cmath>

namespace kumquat {

namespace {

constexpr unsigned char firstContinuation = 0x80;
constexpr unsigned char lastContinuation = 0xbf;
constexpr unsigned char firstPrintable = 0x20;
constexpr std::size_t hexDigits = 4; ///< of a `\u` escape
/// Numbers with fewer characters and no exponent are in the range of a double.
constexpr std::size_t shortNumberLength = 300;

/// The bytes of one UTF-8 sequence: its length, and the range of its second byte. The range leaves
/// out overlong forms, surrogates and what is above U+10FFFF.
struct Utf8Form
{
    std::size_t length = 0; ///< 0: no sequence begins with this byte
    unsigned char secondLow = firstContinuation;
    unsigned char secondHigh = lastContinuation;
};

Utf8Form utf8Form(unsigned char first)
{
    if (first >= 0xc2 && first <= 0xdf) {
        return { 2 };
    }
    if (first >= 0xe0 && first <= 0xef) {
        const unsigned char low = first == 0xe0 ? 0xa0 : firstContinuation;
        const unsigned char high = first == 0xed ? 0x9f : lastContinuation;
        return { 3, low, high };
    }
    if (first >= 0xf0 && first <= 0xf4) {
        const unsigned char low = first == 0xf0 ? 0x90 : firstContinuation;
        const unsigned char high = first == 0xf4 ? 0x8f : lastContinuation;
        return { 4, low, high };
    }
    return {};
}

bool isUtf8Sequence(std::string_view rest, const Utf8Form &form)
{
    if (form.length == 0 || rest.size() < form.length) {
        return false;
    }
    const auto second = static_cast<unsigned char>(rest[1]);
    const std::string_view others = rest.substr(2, form.length - 2);
    return second >= form.secondLow && second <= form.secondHigh
        && std::all_of(others.begin(), others.end(), [](char c) {
               const auto byte = static_cast<unsigned char>(c);
               return byte >= firstContinuation && byte <= lastContinuation;
           });
}

bool isSpace(char c)
{
    return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

/// Walks over a text once; each scan...() function returns false at the first fault.
class JsonScanner
{
public:
    JsonScanner(std::string_view text, JsonSyntax syntax) : text_(text), syntax_(syntax) { }

    std::optional<JsonFault> scan();

private:
    bool scanValue();
    bool scanObject();
    bool scanMember();
    bool scanList();
    bool scanString();
    bool scanEscape();
    bool scanCodeUnit(unsigned &unit);
    bool scanUnicodeEscape();
    bool scanWord(std::string_view word);
    bool scanNumber();
    bool scanDigits();
    bool checkRange(std::size_t start, bool hasExponent);
    bool skipSpace();
    bool skipComment();
    bool enter();
    bool fail(const std::string &what, const std::string &remedy);

    bool atEnd() const { return at_ >= text_.size(); }
    char peek() const { return atEnd() ? '\0' : text_[at_]; }
    bool skip(char c);

    std::string_view text_;
    JsonSyntax syntax_;
    std::size_t at_ = 0;
    std::size_t depth_ = 0;
    std::optional<JsonFault> fault_;
};

std::optional<JsonFault> JsonScanner::scan()
{
    const std::size_t invalid = std::min(findInvalidUtf8(text_), text_.find('\0'));
    if (invalid != std::string_view::npos) {
        at_ = invalid;
        (void)fail("a byte that is not UTF-8 text", "write the text in UTF-8, without NUL bytes");
        return fault_;
    }
    if (scanValue() && skipSpace() && !atEnd()) {
        (void)fail("more text behind the value", "write one JSON value and nothing behind it");
    }
    return fault_;
}

bool JsonScanner::fail(const std::string &what, const std::string &remedy)
{
    const std::string_view before = text_.substr(0, at_);
    const auto lines = std::count(before.begin(), before.end(), '\n');
    fault_ = JsonFault { at_ + 1, static_cast<std::size_t>(lines) + 1, what, remedy };
    return false;
}

bool JsonScanner::skip(char c)
{
    const bool found = !atEnd() && text_[at_] == c;
    at_ += found ? 1 : 0;
    return found;
}

bool JsonScanner::skipSpace()
{
    while (!atEnd()) {
        if (isSpace(peek())) {
            ++at_;
        } else if (peek() != '/' || syntax_ == JsonSyntax::strict) {
            return true;
        } else if (!skipComment()) {
            return false;
        }
    }
    return true;
}

bool JsonScanner::skipComment()
{
    const std::string_view rest = text_.substr(at_);
    if (rest.substr(0, 2) == "//") {
        at_ = std::min(text_.size(), text_.find('\n', at_));
        return true;
    }
    const std::size_t end
        = rest.substr(0, 2) == "/*" ? text_.find("*/", at_ + 2) : std::string::npos;
    if (end == std::string_view::npos) {
        return fail("a slash that begins no whole comment", "write // ... or /* ... */");
    }
    at_ = end + 2;
    return true;
}

bool JsonScanner::scanValue()
{
    if (!skipSpace()) {
        return false;
    }
    switch (peek()) {
    case '{':
        return scanObject();
    case '[':
        return scanList();
    case '"':
        return scanString();
    case 't':
        return scanWord("true");
    case 'f':
        return scanWord("false");
    case 'n':
        return scanWord("null");
    default:
        return scanNumber();
    }
}

bool JsonScanner::enter()
{
    ++at_;
    ++depth_;
    return depth_ <= maxJsonDepth
        || fail("objects or lists nested too deeply",
                "nest at most " + std::to_string(maxJsonDepth) + " of them");
}

bool JsonScanner::scanObject()
{
    if (!enter() || !skipSpace()) {
        return false;
    }
    if (!skip('}')) {
        do {
            if (!scanMember()) {
                return false;
            }
        } while (skip(','));
        if (!skip('}')) {
            return fail("an object that does not go on or end here", "write a comma or }");
        }
    }
    --depth_;
    return true;
}

bool JsonScanner::scanMember()
{
    if (!skipSpace()) {
        return false;
    }
    if (peek() != '"') {
        return fail("no key where one is expected", "write a key in double quotes");
    }
    if (!scanString() || !skipSpace()) {
        return false;
    }
    if (!skip(':')) {
        return fail("no colon behind a key", "write a colon and a value");
    }
    return scanValue() && skipSpace();
}

bool JsonScanner::scanList()
{
    if (!enter() || !skipSpace()) {
        return false;
    }
    if (!skip(']')) {
        do {
            if (!scanValue() || !skipSpace()) {
                return false;
            }
        } while (skip(','));
        if (!skip(']')) {
            return fail("a list that does not go on or end here", "write a comma or ]");
        }
    }
    --depth_;
    return true;
}

bool JsonScanner::scanString()
{
    ++at_;
    while (!atEnd()) {
        const char c = text_[at_];
        if (c == '"') {
            ++at_;
            return true;
        }
        if (c == '\\') {
            if (!scanEscape()) {
                return false;
            }
        } else if (static_cast<unsigned char>(c) < firstPrintable) {
            return fail("a control character in a string", "write it as an escape such as \\n");
        } else {
            ++at_;
        }
    }
    return fail("a string without an end", "send the whole text");
}

bool JsonScanner::scanEscape()
{
    ++at_;
    if (skip('u')) {
        return scanUnicodeEscape();
    }
    constexpr std::string_view escapes = "\"\\/bfnrt";
    if (atEnd() || escapes.find(peek()) == std::string_view::npos) {
        return fail("an unknown escape", "write one that JSON defines");
    }
    ++at_;
    return true;
}

bool JsonScanner::scanCodeUnit(unsigned &unit)
{
    const std::string_view digits = text_.substr(at_, hexDigits);
    const bool isHex = std::all_of(digits.begin(), digits.end(), [](char c) {
        return absl::ascii_isxdigit(static_cast<unsigned char>(c));
    });
    if (digits.size() != hexDigits || !isHex) {
        return fail("an escape without four hexadecimal digits", "write \\u and four digits");
    }
    unit = static_cast<unsigned>(std::stoul(std::string(digits), nullptr, 16));
    at_ += hexDigits;
    return true;
}

bool JsonScanner::scanUnicodeEscape()
{
    const auto isHigh = [](unsigned unit) { return unit >= 0xd800 && unit <= 0xdbff; };
    const auto isLow = [](unsigned unit) { return unit >= 0xdc00 && unit <= 0xdfff; };
    unsigned unit = 0;
    if (!scanCodeUnit(unit)) {
        return false;
    }
    if (isHigh(unit)) {
        unsigned second = 0;
        if (text_.substr(at_, 2) == "\\u") {
            at_ += 2;
            if (!scanCodeUnit(second)) {
                return false;
            }
        }
        unit = isLow(second) ? 0 : unit;
    }
    return (!isHigh(unit) && !isLow(unit))
        || fail("half of a surrogate pair", "write both escapes of the pair");
}

bool JsonScanner::scanWord(std::string_view word)
{
    if (text_.substr(at_, word.size()) != word) {
        return fail("an unknown word", "write true, false, null or a string in quotes");
    }
    at_ += word.size();
    return true;
}

bool JsonScanner::scanDigits()
{
    const std::size_t start = at_;
    while (isDigit(peek())) {
        ++at_;
    }
    return at_ > start || fail("no value or number as JSON defines it", "write a whole value");
}

bool JsonScanner::scanNumber()
{
    const std::size_t start = at_;
    (void)skip('-');
    const bool hasLeadingZero = skip('0');
    if (hasLeadingZero && isDigit(peek())) {
        return fail("a number that begins with a zero", "leave the zero out");
    }
    if (!hasLeadingZero && !scanDigits()) {
        return false;
    }
    if (skip('.') && !scanDigits()) {
        return false;
    }
    const bool hasExponent = skip('e') || skip('E');
    if (hasExponent) {
        (void)(skip('+') || skip('-'));
        if (!scanDigits()) {
            return false;
        }
    }
    return checkRange(start, hasExponent);
}

bool JsonScanner::checkRange(std::size_t start, bool hasExponent)
{
    const std::string_view digits = text_.substr(start, at_ - start);
    if (!hasExponent && digits.size() < shortNumberLength) {
        return true;
    }
    double number = 0;
    const bool isRead = absl::SimpleAtod({ digits.data(), digits.size() }, &number);
    return (isRead && std::isfinite(number))
        || fail("a number that is too large", "write a number below 1e308");
}

} // namespace

std::size_t findInvalidUtf8(std::string_view text)
{
    for (std::size_t at = 0; at < text.size();) {
        const auto first = static_cast<unsigned char>(text[at]);
        if (first < firstContinuation) {
            ++at;
            continue;
        }
        const Utf8Form form = utf8Form(first);
        if (!isUtf8Sequence(text.substr(at), form)) {
            return at;
        }
        at += form.length;
    }
    return std::string_view::npos;
}

std::optional<JsonFault> findJsonFault(std::string_view text, JsonSyntax syntax)
{
    if (syntax == JsonSyntax::lenient) {
        return std::nullopt;
    }
    return JsonScanner(text, syntax).scan();
}

std::string cutText(const std::string &text, std::size_t maxBytes)
{
    if (text.size() <= maxBytes) {
        return text;
    }
    std::size_t end = maxBytes;
    while (end > 0 && static_cast<unsigned char>(text[end]) >= firstContinuation
           && static_cast<unsigned char>(text[end]) <= lastContinuation) {
        --end;
    }
    return text.substr(0, end) + "...";
}

} // namespace kumquat
