#pragma once
/// \file
/// Defines an IP address with a port, as settings and announcements write it.
/// Host names are not resolved: instances are identified by IP address.

#include <absl/status/statusor.h>
#include <string>

#include "transport/Asio.h"

namespace kumquat {

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const Address &other) const { return ip == other.ip && port == other.port; }
    bool operator<(const Address &other) const
    {
        return ip != other.ip ? ip < other.ip : port < other.port;
    }
    std::string text() const { return ip + ":" + std::to_string(port); }
    TcpEndpoint tcp() const { return { asio::ip::make_address(ip), port }; }
    UdpEndpoint udp() const { return { asio::ip::make_address(ip), port }; }
};

/// Parses `IP:PORT`; fails with ErrorKind::badSettings.
absl::StatusOr<Address> parseAddress(const std::string &text);

} // namespace kumquat
