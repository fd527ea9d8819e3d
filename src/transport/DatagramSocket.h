#pragma once
/// \file
/// Sends and receives the signed datagrams that entries exchange.
/// Datagrams that fail verification are counted and dropped.

#include "transport/Address.h"
#include "transport/Authenticator.h"

namespace kumquat {

class DatagramSocket
{
public:
    using PayloadHandler = std::function<void(const std::string &payload)>;

    /// The largest payload that fits into one Ethernet frame of the usual size with its tag.
    static constexpr std::size_t maxPayloadBytes = 1200;

    /// \p authenticator may be null; then datagrams are neither signed nor verified.
    DatagramSocket(asio::io_context &context, std::shared_ptr<Authenticator> authenticator);

    absl::Status open(const Address &address, PayloadHandler handler);
    void send(const Address &address, const std::string &payload);
    void close();

    std::uint64_t sentBytes() const { return sentBytes_; }
    std::uint64_t rejectedDatagrams() const { return rejectedDatagrams_; }

private:
    void startReceive();
    void handleReceived();
    void handleDatagram(std::size_t length);

    UdpSocket socket_;
    std::shared_ptr<Authenticator> authenticator_;
    PayloadHandler handler_;
    std::vector<char> buffer_;
    std::atomic<std::uint64_t> sentBytes_ { 0 };
    std::atomic<std::uint64_t> rejectedDatagrams_ { 0 };
};

} // namespace kumquat
