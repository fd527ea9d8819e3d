#include "transport/JsonRpcCall.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>

namespace kumquat {

namespace {

class Connector : public jsonrpc::IClientConnector
{
public:
    explicit Connector(const JsonRpcTransport &transport) : transport_(transport) { }

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        result = transport_(message);
    }

private:
    const JsonRpcTransport &transport_;
};

} // namespace

JsonRpcOutcome callJsonRpc(const JsonRpcTransport &transport, const std::string &method,
                           const std::string &parameters)
{
    JsonRpcOutcome outcome;
    Json::Value value;
    Json::Reader reader;
    reader.parse(parameters, value);
    Connector connector(transport);
    jsonrpc::Client client(connector);
    try {
        Json::FastWriter writer;
        outcome.result = writer.write(client.CallMethod(method, value));
        outcome.ok = true;
    } catch (const jsonrpc::JsonRpcException &exception) {
        outcome.error = exception.GetMessage();
    } catch (const std::exception &exception) {
        outcome.error = std::string("the answer cannot be read: ") + exception.what();
    }
    return outcome;
}

} // namespace kumquat
