#pragma once
/// \file
/// Sends and receives the signed datagrams that entries exchange.
/// What does not verify is counted and dropped.

#include "transport/Address.h"
#include "transport/Authenticator.h"

namespace kumquat {

class DatagramSocket
{
public:
    using PayloadHandler = std::function<void(const std::string &payload)>;

    /// The largest payload that fits a datagram of common Ethernet size with its tag.
    static constexpr std::size_t maxPayloadBytes = 1200;

    /// \p authenticator may be null; then datagrams go unsigned.
    DatagramSocket(asio::io_context &context, std::shared_ptr<Authenticator> authenticator);

    absl::Status open(const Address &address, PayloadHandler handler);
    void send(const Address &address, const std::string &payload);
    void close();

    std::uint64_t sentBytes() const { return sentBytes_; }
    std::uint64_t rejectedDatagrams() const { return rejectedDatagrams_; }

private:
    void startReceive();
    void handleDatagram(std::size_t length);

    UdpSocket socket_;
    std::shared_ptr<Authenticator> authenticator_;
    PayloadHandler handler_;
    std::vector<char> buffer_;
    std::atomic<std::uint64_t> sentBytes_ { 0 };
    std::atomic<std::uint64_t> rejectedDatagrams_ { 0 };
};

} // namespace kumquat
