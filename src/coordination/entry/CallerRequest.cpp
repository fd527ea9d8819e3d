#include "coordination/entry/CallerRequest.h"

#include <xxhash.h>

namespace kumquat {

std::uint64_t fingerprintOf(const http::request_header<> &header, const std::string &body,
                            const std::string &organisation)
{
    const std::uint64_t caller
        = organisation.empty() ? 0 : XXH64(organisation.data(), organisation.size(), 0);
    const std::string head
        = std::string(header.method_string()) + ' ' + std::string(header.target());
    const std::uint64_t seed = XXH64(head.data(), head.size(), caller);
    return XXH64(body.data(), body.size(), seed);
}

// No response to a request whose body fails has begun, so its connection need not be reset: that
// would cut the responses before it.
bool isMalformed(ErrorCode error)
{
    return error.category() == ErrorCode(http::error::bad_method).category();
}

std::string pathOf(const http::request_header<> &header)
{
    const std::string target(header.target());
    return target.substr(0, target.find('?'));
}

} // namespace kumquat
