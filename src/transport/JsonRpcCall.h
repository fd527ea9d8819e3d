#pragma once
/// \file
/// Makes one JSON-RPC call through libjson-rpc-cpp's client.
/// The header is plain C++14, since that client's own headers do not compile as C++17.

#include <functional>
#include <string>

namespace kumquat {

/// Sends a JSON-RPC message to the server and returns its response; empty when there is none.
using JsonRpcTransport = std::function<std::string(const std::string &message)>;

struct JsonRpcOutcome
{
    bool ok = false;
    std::string result; ///< JSON, when ok
    std::string error; ///< a message for the operator, otherwise
};

/// \p parameters is a JSON object as text.
JsonRpcOutcome callJsonRpc(const JsonRpcTransport &transport, const std::string &method,
                           const std::string &parameters);

} // namespace kumquat
