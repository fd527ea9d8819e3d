// What a caller's connection takes for one request is one request for a strict reader too.
#include "TestSupport.h"
#include "protocol/CallerConnection.h"
#include "protocol/Refusal.h"
#include "transport/Spawn.h"

#include <algorithm>
#include <optional>
#include <random>

using namespace kumquat;

namespace {

constexpr Seconds testTimeout { 20 };
constexpr std::size_t maxBodyBytes = 10'000;

struct ReadRequest
{
    std::string method;
    std::string target;
    std::string body;
    bool operator==(const ReadRequest &other) const
    {
        return method == other.method && target == other.target && body == other.body;
    }
};

// A reader of requests by the letter of RFC 9112, independent of the product's parser.
class StrictReader
{
public:
    explicit StrictReader(std::string bytes) : rest_(std::move(bytes)) { }

    // The next request, or nothing when what follows is none.
    std::optional<ReadRequest> next()
    {
        while (rest_.rfind("\r\n", 0) == 0) {
            rest_.erase(0, 2);
        }
        const auto end = rest_.find("\r\n\r\n");
        if (end == std::string::npos) {
            return std::nullopt;
        }
        std::vector<std::string> lines = linesOf(rest_.substr(0, end + 2));
        rest_.erase(0, end + 4);
        ReadRequest request;
        if (lines.empty() || !readRequestLine(lines.front(), request)) {
            return std::nullopt;
        }
        lines.erase(lines.begin());
        return readFields(lines) && readBody(request) ? std::optional<ReadRequest>(request)
                                                      : std::nullopt;
    }

private:
    static std::vector<std::string> linesOf(const std::string &text)
    {
        std::vector<std::string> lines;
        for (std::size_t at = 0; at < text.size();) {
            const auto end = text.find("\r\n", at);
            lines.push_back(text.substr(at, end - at));
            at = end + 2;
        }
        return lines;
    }

    bool readRequestLine(const std::string &line, ReadRequest &request)
    {
        const auto first = line.find(' ');
        const auto last = line.rfind(' ');
        if (first == std::string::npos || first == last || first == 0) {
            return false;
        }
        request.method = line.substr(0, first);
        request.target = line.substr(first + 1, last - first - 1);
        minor_ = line.substr(last + 1);
        const bool plain = request.target.find_first_of(" \t\r\n") == std::string::npos;
        return plain && (minor_ == "HTTP/1.1" || minor_ == "HTTP/1.0");
    }

    static std::string trimmed(const std::string &text)
    {
        const auto first = text.find_first_not_of(" \t");
        const auto last = text.find_last_not_of(" \t");
        return first == std::string::npos ? "" : text.substr(first, last - first + 1);
    }

    static std::string lower(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        return text;
    }

    bool readFields(const std::vector<std::string> &lines)
    {
        lengths_.clear();
        codings_.clear();
        std::string name;
        for (const std::string &line : lines) {
            if (line.find_first_of(std::string("\r\n\0", 3)) != std::string::npos) {
                return false;
            }
            if (!line.empty() && (line[0] == ' ' || line[0] == '\t')) {
                // A folded line continues the value before it (RFC 9112, 5.2).
                if (name.empty() || name == "content-length" || name == "transfer-encoding") {
                    return false;
                }
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos || colon == 0) {
                return false;
            }
            name = lower(line.substr(0, colon));
            if (name.find_first_of(" \t\"(),/;<=>?@[]{}\\") != std::string::npos) {
                return false;
            }
            const std::string value = lower(trimmed(line.substr(colon + 1)));
            if (name == "content-length") {
                lengths_.push_back(value);
            }
            if (name == "transfer-encoding") {
                codings_.push_back(value);
            }
        }
        return true;
    }

    bool readBody(ReadRequest &request)
    {
        if (!codings_.empty()) {
            const bool chunked = codings_ == std::vector<std::string> { "chunked" };
            return chunked && lengths_.empty() && minor_ == "HTTP/1.1" && readChunks(request.body);
        }
        if (lengths_.empty()) {
            return true;
        }
        const std::string &digits = lengths_.front();
        const bool plain = lengths_.size() == 1 && !digits.empty() && digits.size() <= 9
            && digits.find_first_not_of("0123456789") == std::string::npos;
        return plain && take(std::stoul(digits), request.body);
    }

    bool take(std::size_t length, std::string &body)
    {
        if (length > rest_.size()) {
            return false;
        }
        body += rest_.substr(0, length);
        rest_.erase(0, length);
        return true;
    }

    std::optional<std::string> takeLine()
    {
        const auto end = rest_.find("\r\n");
        if (end == std::string::npos) {
            return std::nullopt;
        }
        const std::string line = rest_.substr(0, end);
        rest_.erase(0, end + 2);
        return line.find_first_of("\r\n") == std::string::npos ? std::optional<std::string>(line)
                                                               : std::nullopt;
    }

    bool readChunks(std::string &body)
    {
        while (true) {
            const auto line = takeLine();
            const std::string digits = line ? trimmed(line->substr(0, line->find(';'))) : "";
            const bool plain = !digits.empty() && digits.size() <= 16
                && digits.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
            if (!plain) {
                return false;
            }
            const std::size_t length = std::stoull(digits, nullptr, 16);
            if (length == 0) {
                return readTrailers();
            }
            if (!take(length, body) || takeLine() != std::string()) {
                return false;
            }
        }
    }

    bool readTrailers()
    {
        while (auto line = takeLine()) {
            if (line->empty()) {
                return true;
            }
        }
        return false;
    }

    std::string rest_;
    std::string minor_;
    std::vector<std::string> lengths_;
    std::vector<std::string> codings_;
};

// Serves what comes on one connection and records each request.
std::vector<ReadRequest> servedOf(const std::string &bytes)
{
    asio::io_context loop { 1 };
    TcpAcceptor acceptor(loop);
    CHECK(openAcceptor(acceptor, Address { "127.0.0.1", 0 }, false).ok());
    std::vector<ReadRequest> served;
    bool done = false;
    spawnOn(loop, [&](Yield yield) {
        TcpSocket socket(loop);
        ErrorCode error;
        acceptor.async_accept(socket, yield[error]);
        CallerHooks hooks;
        hooks.isStopping = [] { return false; };
        hooks.limits = [] { return CallerLimits(); };
        hooks.handlerFailed = [](const char *what) { FAIL(what); };
        const auto caller = std::make_shared<CallerConnection>(loop, std::move(socket));
        caller->serve(
            [&served](CallerConnection &connection, Yield inner) {
                ReadRequest request;
                request.method = std::string(connection.header().method_string());
                request.target = std::string(connection.header().target());
                const ErrorCode failed = connection.readBody(
                    request.body, maxBodyBytes, [](std::size_t) { return true; },
                    Clock::now() + testTimeout, inner);
                if (failed) {
                    connection.abort(DropCause::requestIncomplete);
                    return;
                }
                served.push_back(request);
                (void)connection.writeResponse(textResponse(http::status::ok, "{}"), inner);
            },
            std::move(hooks), yield);
        done = true;
    });
    spawnOn(loop, [&](Yield yield) {
        TcpStream stream(loop);
        ErrorCode error;
        stream.expires_after(testTimeout);
        stream.async_connect(
            { asio::ip::make_address("127.0.0.1"), acceptor.local_endpoint().port() },
            yield[error]);
        asio::async_write(stream, asio::buffer(bytes), yield[error]);
        stream.socket().shutdown(TcpSocket::shutdown_send, error);
        char part[4096];
        error = {};
        while (!error) {
            stream.async_read_some(asio::buffer(part), yield[error]);
        }
    });
    while (!done && loop.run_one() > 0) { }
    return served;
}

template <typename Value>
const Value &pick(const std::vector<Value> &values, std::mt19937 &random)
{
    return values[random() % values.size()];
}

std::string drawBody(std::mt19937 &random)
{
    static const std::vector<std::string> bodies = { "",
                                                     "x",
                                                     "0\r\n\r\n",
                                                     "5\r\nhello\r\n0\r\n\r\n",
                                                     "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n",
                                                     "5;a=b\r\nhello\r\n0\r\nTrailer: t\r\n\r\n",
                                                     "5 \r\nhello\r\n0\r\n\r\n",
                                                     "0005\r\nhello\r\n000\r\n\r\n",
                                                     "ffffffffffffffff\r\nhello\r\n0\r\n\r\n",
                                                     "5\nhello\n0\n\n",
                                                     "5\r\nhelloX\r\n0\r\n\r\n",
                                                     "-1\r\n\r\n",
                                                     "0x5\r\nhello\r\n0\r\n\r\n" };
    return pick(bodies, random);
}

std::string drawRequest(std::mt19937 &random)
{
    static const std::vector<std::string> methods
        = { "GET", "POST", "PUT", "HEAD", "TRACE", "DELETE" };
    static const std::vector<std::string> versions
        = { "HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0" };
    static const std::vector<std::string> ends
        = { "\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\n", "\r" };
    static const std::vector<std::string> fields = { "Content-Length: 5",
                                                     "Content-Length: 0",
                                                     "Content-Length: 1",
                                                     "Content-Length: 37",
                                                     "Content-Length: +1",
                                                     "Content-Length: 1, 1",
                                                     "Content-Length:",
                                                     "Content-Length: 0x1",
                                                     "Content-Length: 18446744073709551617",
                                                     "content-length: 5",
                                                     "Content-Length : 5",
                                                     "Transfer-Encoding: chunked",
                                                     "Transfer-Encoding: Chunked",
                                                     "Transfer-Encoding: identity",
                                                     "Transfer-Encoding: chunked, identity",
                                                     "Transfer-Encoding: gzip, chunked",
                                                     "Transfer-Encoding: xchunked",
                                                     "Transfer-Encoding:\tchunked",
                                                     "Transfer-Encoding : chunked",
                                                     "Transfer-Encoding: \"chunked\"",
                                                     "Transfer-Encoding: chunked;q=1",
                                                     "X: y",
                                                     "X: a\r\n Content-Length: 5",
                                                     "X: a\r\n\tb",
                                                     "Host: other",
                                                     "Connection: keep-alive",
                                                     "Connection: Content-Length",
                                                     "X\x01: y",
                                                     "Expect: 100-continue" };
    std::string request = pick(methods, random) + " /a" + std::to_string(random() % 9) + " "
        + pick(versions, random) + "\r\nHost: x" + pick(ends, random);
    const std::size_t count = random() % 3;
    for (std::size_t i = 0; i < count; ++i) {
        request += pick(fields, random) + pick(ends, random);
    }
    return request + "\r\n" + drawBody(random);
}

void checkStream(const std::string &bytes, unsigned seed)
{
    const std::vector<ReadRequest> served = servedOf(bytes);
    StrictReader reader(bytes);
    for (const ReadRequest &request : served) {
        const auto expected = reader.next();
        const bool agrees = expected && *expected == request;
        CHECK_TEXT(agrees,
                   (std::to_string(seed) + ": " + request.method + " " + request.target + " '"
                    + request.body + "' of\n" + bytes)
                       .c_str());
    }
}

} // namespace

TEST_GROUP(RequestFramingAgrees) {};

// A body in an unknown transfer coding was read as the next request, which a target then ran.
TEST(RequestFramingAgrees, noRequestIsSmuggledInABody)
{
    for (const char *coding : { "identity", "gzip", "chunked, identity", "xchunked" }) {
        const std::vector<ReadRequest> served
            = servedOf(std::string("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: ") + coding
                       + "\r\n\r\nGET /hidden HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK_EQUAL_TEXT(0, served.size(), coding);
    }
}

TEST(RequestFramingAgrees, plainRequestsOfOneConnectionAreServed)
{
    const std::vector<ReadRequest> served = servedOf(
        "GET /a HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\nHost: x\r\nContent-Length: "
        "3\r\n\r\nabcPUT /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2;x=y\r\nde\r\n0\r\nT: u\r\n\r\nGET /d HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK_EQUAL(4, served.size());
    STRCMP_EQUAL("abc", served[1].body.c_str());
    STRCMP_EQUAL("de", served[2].body.c_str());
}

TEST(RequestFramingAgrees, withAStrictReaderOnDrawnStreams)
{
    constexpr unsigned streams = 400;
    for (unsigned seed = 1; seed <= streams; ++seed) {
        std::mt19937 random(seed);
        std::string bytes;
        const std::size_t count = 1 + random() % 3;
        for (std::size_t i = 0; i < count; ++i) {
            bytes += drawRequest(random);
        }
        checkStream(bytes, seed);
    }
}
