#pragma once
/// \file
/// Serves operators' JSON-RPC calls on a control member through libjson-rpc-cpp.
/// The calls wait for the group, so they run on a thread of their own.

#include <functional>
#include <json/json.h>
#include <memory>
#include <string>

namespace kumquat {

/// What each method does; parameters in, result out. A thrown RpcFailure becomes a JSON-RPC error.
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

    /// Handles one JSON-RPC message and returns the answer; blocks.
    std::string handle(const std::string &message);

private:
    class Server;
    class Connector;
    std::unique_ptr<Connector> connector_;
    std::unique_ptr<Server> server_;
};

} // namespace kumquat
