#include "transport/RequestFraming.h"

namespace kumquat {

namespace {

constexpr unsigned firstVersionWithChunks = 11;

// A body in any coding but plain chunks cannot be passed on as it is: a parser that does not know
// the coding takes the request for one without a body, and the body for the next request.
const char *ambiguousCoding(const http::request_header<> &header)
{
    const auto codings = header.count(http::field::transfer_encoding);
    if (codings == 0) {
        return nullptr;
    }
    if (header.version() < firstVersionWithChunks) {
        return "a transfer coding in HTTP/1.0";
    }
    const bool isChunked = beast::iequals(header[http::field::transfer_encoding], "chunked");
    if (codings > 1 || !isChunked) {
        return "a transfer coding other than chunked";
    }
    return header.count(http::field::content_length) > 0 ? "a length beside a transfer coding"
                                                         : nullptr;
}

bool isDecimal(beast::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == beast::string_view::npos;
}

// The parser takes a list of equal lengths for one; other readers take the first or the last.
bool hasPlainLength(const http::request_header<> &header)
{
    const auto lengths = header.count(http::field::content_length);
    return lengths == 0 || (lengths == 1 && isDecimal(header[http::field::content_length]));
}

} // namespace

const char *ambiguityOf(const http::request_header<> &header, bool hasBody)
{
    if (const char *coding = ambiguousCoding(header)) {
        return coding;
    }
    if (!hasPlainLength(header)) {
        return "a length that is no single number";
    }
    if (header.count(http::field::host) > 1) {
        return "more than one host";
    }
    // RFC 9110, 9.3.8: a TRACE request has no content.
    return hasBody && header.method() == http::verb::trace ? "a body in a TRACE request" : nullptr;
}

} // namespace kumquat
