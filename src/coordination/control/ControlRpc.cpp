#include "coordination/control/ControlRpc.h"

#include "common/JsonReader.h"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server.h>

namespace kumquat {

namespace {

// Unknown to libjson-rpc-cpp, which puts a text of its own before the message of known codes.
constexpr int applicationErrorCode = -32050;

std::string errorMessage(int code, const std::string &what)
{
    Json::Value message;
    message["jsonrpc"] = "2.0";
    message["id"] = Json::Value::nullSingleton();
    message["error"]["code"] = code;
    message["error"]["message"] = what;
    return writeJson(message);
}

} // namespace

/// Receives messages from ControlServer in place of one of the library's HTTP servers.
class ControlRpc::Connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string &response, void *addInfo) override
    {
        *static_cast<std::string *>(addInfo) = response;
        return true;
    }
};

class ControlRpc::Server : public jsonrpc::AbstractServer<ControlRpc::Server>
{
public:
    Server(Connector &connector, ControlRpcHooks hooks)
        : jsonrpc::AbstractServer<Server>(connector, jsonrpc::JSONRPC_SERVER_V2),
          hooks_(std::move(hooks))
    {
        add("form", &Server::form);
        add("status", &Server::status);
        add("current", &Server::current);
        add("check", &Server::check);
        add("apply", &Server::apply);
        add("onceShow", &Server::onceShow);
    }

private:
    void add(const char *name, void (Server::*method)(const Json::Value &, Json::Value &))
    {
        const jsonrpc::Procedure procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                                           NULL);
        bindAndAddMethod(procedure, method);
    }

    static void callMethod(const ControlRpcHooks::Method &method, const Json::Value &in,
                           Json::Value &out)
    {
        try {
            out = method(in);
        } catch (const RpcError &error) {
            throw jsonrpc::JsonRpcException(applicationErrorCode, error.message);
        }
    }

    void form(const Json::Value &in, Json::Value &out) { callMethod(hooks_.form, in, out); }
    void status(const Json::Value &in, Json::Value &out) { callMethod(hooks_.status, in, out); }
    void current(const Json::Value &in, Json::Value &out) { callMethod(hooks_.current, in, out); }
    void check(const Json::Value &in, Json::Value &out) { callMethod(hooks_.check, in, out); }
    void apply(const Json::Value &in, Json::Value &out) { callMethod(hooks_.apply, in, out); }
    void onceShow(const Json::Value &in, Json::Value &out) { callMethod(hooks_.onceShow, in, out); }

    ControlRpcHooks hooks_;
};

ControlRpc::ControlRpc(ControlRpcHooks hooks)
    : connector_(std::make_unique<Connector>()),
      server_(std::make_unique<Server>(*connector_, std::move(hooks)))
{
}

ControlRpc::~ControlRpc() = default;

// The library reads a message leniently and lets exceptions out, for example of a value nested too
// deeply; so it gets only what the strict reader accepts.
std::string ControlRpc::handle(const std::string &message)
{
    const auto parsed = parseJson("request", message, ErrorKind::badMessage);
    if (!parsed.ok()) {
        return errorMessage(jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR,
                            std::string(parsed.status().message()));
    }
    std::string response;
    try {
        connector_->OnRequest(message, &response);
    } catch (const std::exception &exception) {
        return errorMessage(jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST, exception.what());
    }
    return response;
}

} // namespace kumquat
