#include "transport/DatagramSocket.h"

#include "common/Containment.h"
#include "kumquat/Error.h"
#include "kumquat/Event.h"

namespace kumquat {

namespace {

constexpr std::size_t receiveBufferBytes = 64 * 1024;
/// Datagrams that are handled before other work of the loop has its turn.
constexpr int maxDatagramsAtOnce = 32;

} // namespace

DatagramSocket::DatagramSocket(asio::io_context &context,
                               std::shared_ptr<Authenticator> authenticator)
    : socket_(context), authenticator_(std::move(authenticator)), buffer_(receiveBufferBytes)
{
}

absl::Status DatagramSocket::open(const Address &address, PayloadHandler handler)
{
    handler_ = std::move(handler);
    ErrorCode error;
    socket_.open(asio::ip::udp::v4(), error);
    socket_.bind(address.udp(), error);
    if (error) {
        return makeError(ErrorKind::badSettings,
                         "cannot bind " + address.text() + ": " + error.message(),
                         "choose a free gossip address of this instance");
    }
    socket_.non_blocking(true, error);
    startReceive();
    return absl::OkStatus();
}

void DatagramSocket::send(const Address &address, const std::string &payload)
{
    const std::string tag = authenticator_ ? authenticator_->sign(payload) : "";
    const std::string datagram = tag + "\n" + payload;
    ErrorCode ignored;
    // A full socket buffer drops the datagram; gossip recovers as after any other loss.
    sentBytes_ += socket_.send_to(asio::buffer(datagram), address.udp(), 0, ignored);
}

void DatagramSocket::close()
{
    ErrorCode ignored;
    socket_.close(ignored);
}

void DatagramSocket::startReceive()
{
    socket_.async_receive(asio::buffer(buffer_), [this](ErrorCode error, std::size_t length) {
        if (!socket_.is_open()) {
            return;
        }
        if (!error) {
            contain([&] { handleDatagram(length); });
            handleReceived();
        }
        startReceive();
    });
}

// One datagram for each round of the loop would make the others wait for all other handlers, and
// the entries whose questions about quotas they hold with them.
void DatagramSocket::handleReceived()
{
    for (int i = 1; i < maxDatagramsAtOnce && socket_.is_open(); ++i) {
        ErrorCode error;
        const std::size_t length = socket_.receive(asio::buffer(buffer_), 0, error);
        if (error) {
            return; // none is left, or the next receive reports it
        }
        contain([&] { handleDatagram(length); });
    }
}

void DatagramSocket::handleDatagram(std::size_t length)
{
    const std::string datagram(buffer_.data(), length);
    const auto tagEnd = datagram.find('\n');
    const std::string payload = tagEnd == std::string::npos ? "" : datagram.substr(tagEnd + 1);
    const absl::Status status = authenticator_
        ? authenticator_->verify(datagram.substr(0, tagEnd), payload)
        : absl::OkStatus();
    if (!status.ok()) {
        if (rejectedDatagrams_++ == 0) {
            logEvent(Event::badDatagram, LogLevel::warning, "{}", std::string(status.message()));
        }
        return;
    }
    handler_(payload);
}

} // namespace kumquat
