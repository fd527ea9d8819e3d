#pragma once
/// \file
/// Defines a connection to a target, which exchanges one request and response at a time.
/// A connection is reused only after a complete, well-framed response.

#include "common/Time.h"
#include "transport/Address.h"
#include "transport/HttpServer.h"

#include <functional>
#include <optional>

namespace kumquat {

class TargetConnection
{
public:
    TargetConnection(asio::io_context &context, Address address);

    ErrorCode connect(TimePoint deadline, Yield yield);
    void setDeadline(TimePoint deadline) { stream_.expires_at(deadline); }

    /// Sends a request whose body is held in memory.
    ErrorCode sendRequest(const HttpRequest &request, Yield yield);
    /// As above; \p header tells the length of \p body, which is not copied.
    ErrorCode sendRequest(const http::request_header<> &header, const std::string &body,
                          Yield yield);

    /// Streams a request: its header, then body parts, of which the last one ends it. Without a
    /// \p length the body is chunked.
    ErrorCode sendHeader(http::request_header<> requestHeader, std::optional<std::uint64_t> length,
                         Yield yield);
    /// Fails when the target responds before it has taken the part.
    ErrorCode sendBodyPart(const std::string &part, bool last, Yield yield);

    /// Sends a short request, serialized already, without waiting; fails when the socket's buffer
    /// has no room for it. No deadline applies.
    ErrorCode sendNow(const std::string &request);

    /// Reads the response's header; interim (1xx) responses are skipped.
    ErrorCode readHeader(bool isHeadRequest, Yield yield);

    /// Appends to \p body until the response is complete or \p body holds \p limit bytes. Fails
    /// when the body ends with the connection before the request is sent whole, and with
    /// http::error::bad_chunk when much more than the body comes beside it.
    ErrorCode readBody(std::string &body, std::size_t limit, Yield yield);

    /// As readHeader() and readBody(), in fewer system calls for a response that arrives whole. No
    /// deadline applies; close() ends them.
    ErrorCode readShortHeader(Yield yield);
    ErrorCode readShortBody(std::string &body, std::size_t limit, Yield yield);

    /// Without the fields of a trailer.
    const http::response_header<> &header() const
    {
        return header_ ? *header_ : parser_->get().base();
    }
    std::optional<std::uint64_t> contentLength() const;
    bool isResponseComplete() const { return parser_ && parser_->is_done(); }
    bool isReusable() const;
    bool isOpen() const { return stream_.socket().is_open(); }
    bool hasResponseBytes() const { return parser_ && parser_->got_some(); }

    /// True when the target, by its last response, may be about to close the idle connection.
    bool isNearIdleTimeout(TimePoint now) const;
    /// True when the target has closed the idle connection or sent unexpected bytes.
    bool isStale();

    /// True when a response has begun to arrive. Interim (1xx) ones are skipped.
    bool hasResponse();

    void close();

    const Address &address() const { return address_; }
    TimePoint lastResponseAt() const { return lastResponseAt_; }
    /// True until a second request is sent.
    bool isFirstExchange() const { return requestsSent_ <= 1; }
    bool isUnused() const { return requestsSent_ == 0; }

private:
    /// Whether a body part is being sent, and input awaited meanwhile; outlives the connection.
    struct InputWatch
    {
        bool isSending = false;
        bool isPending = false;
    };

    using Parser = http::response_parser<http::buffer_body>;
    using InputBuffer = beast::flat_buffer::mutable_buffers_type;
    /// Reads into the buffer and the parser until the header is parsed.
    using ReadHeader = std::function<void(Parser &, ErrorCode &)>;
    /// Receives something of the body and returns the number of bytes.
    using Receive = std::function<std::size_t(InputBuffer, ErrorCode &)>;

    void startRequest();
    void waitForInput(ErrorCode &error, Yield yield);
    template <typename Read>
    std::size_t readWhenReady(Read &&read, ErrorCode &error, Yield yield);
    ErrorCode readHeaderBy(const ReadHeader &read, bool isHeadRequest);
    ErrorCode readBodyBy(const Receive &receive, std::string &body, std::size_t limit);
    ErrorCode readPartBy(const Receive &receive);
    ErrorCode parseBody();
    ErrorCode receiveBody(const Receive &receive);
    bool isMostlyFraming() const;
    bool isCutShort() const;
    bool skipInterim();
    void keepHeader();
    void recordIdleTimeout();
    void cancelSendingOnResponse();

    Address address_;
    TcpStream stream_;
    beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::optional<http::response_header<>> header_; ///< when a trailer may follow
    std::optional<http::request<http::buffer_body>> streamedRequest_;
    std::optional<http::request_serializer<http::buffer_body>> serializer_;
    TimePoint lastResponseAt_; ///< of the connecting when there was no response yet
    std::optional<Milliseconds> idleTimeout_; ///< as the target's last response states it
    int requestsSent_ = 0;
    bool isRequestSent_ = false; ///< whole
    std::uint64_t bodyBytes_ = 0; ///< of the present response
    std::uint64_t framingBytes_ = 0; ///< what frames the chunks of its body, and its trailer
    std::shared_ptr<InputWatch> inputWatch_ = std::make_shared<InputWatch>();
};

} // namespace kumquat
