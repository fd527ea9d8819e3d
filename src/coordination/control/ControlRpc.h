#pragma once
/// \file
/// Serves operators' JSON-RPC calls on a control member through libjson-rpc-cpp.
/// The calls wait for the group, so they run on a thread of their own.

#include <functional>
#include <json/json.h>
#include <memory>
#include <string>

namespace kumquat {

/// Implements the JSON-RPC methods; a thrown RpcError becomes a JSON-RPC error response.
struct ControlRpcHooks
{
    using Method = std::function<Json::Value(const Json::Value &parameters)>;
    Method form;
    Method status;
    Method current;
    Method check;
    Method apply;
    Method onceShow;
};

struct RpcError
{
    std::string message;
};

class ControlRpc
{
public:
    explicit ControlRpc(ControlRpcHooks hooks);
    ~ControlRpc();

    /// Handles one JSON-RPC message and returns the response; blocks.
    std::string handle(const std::string &message);

private:
    class Server;
    class Connector;
    std::unique_ptr<Connector> connector_;
    std::unique_ptr<Server> server_;
};

} // namespace kumquat
