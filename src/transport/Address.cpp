#include "transport/Address.h"

#include "kumquat/Error.h"

#include <absl/strings/numbers.h>

namespace kumquat {

absl::StatusOr<Address> parseAddress(const std::string &text)
{
    const auto invalidAddress = [&text] {
        return makeError(ErrorKind::badSettings, "'" + text + "' is not an address",
                         "write an IPv4 address and a port, such as 127.0.0.1:8080");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return invalidAddress();
    }
    std::uint32_t port = 0;
    if (!absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 || port > 65535) {
        return invalidAddress();
    }
    ErrorCode error;
    const std::string ip = text.substr(0, colon);
    asio::ip::make_address_v4(ip, error);
    if (error) {
        return invalidAddress();
    }
    return Address { ip, static_cast<std::uint16_t>(port) };
}

} // namespace kumquat
