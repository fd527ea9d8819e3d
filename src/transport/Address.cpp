#include "transport/Address.h"

#include "kumquat/Error.h"

#include <absl/strings/numbers.h>

namespace kumquat {

namespace {

// The libraries also take signs, white space and what stands behind a NUL byte.
bool consistsOf(const std::string &text, const char *characters)
{
    return text.find_first_not_of(characters) == std::string::npos;
}

} // namespace

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
    const std::string ip = text.substr(0, colon);
    const std::string digits = text.substr(colon + 1);
    std::uint32_t port = 0;
    if (!consistsOf(digits, "0123456789") || !absl::SimpleAtoi(digits, &port) || port == 0
        || port > std::numeric_limits<std::uint16_t>::max()) {
        return invalidAddress();
    }
    ErrorCode error;
    asio::ip::make_address_v4(ip, error);
    if (error || !consistsOf(ip, "0123456789.")) {
        return invalidAddress();
    }
    return Address { ip, static_cast<std::uint16_t>(port) };
}

} // namespace kumquat
