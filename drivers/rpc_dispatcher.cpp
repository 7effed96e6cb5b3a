#include "spindleweir/drivers/rpc_dispatcher.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnauthorized = 401;
constexpr const char* kJsonType = "application/json";

}  // namespace

/// Connects libjsonrpccpp's protocol handler to the registered functions.
class RpcDispatcher::Handler : public jsonrpc::IProcedureInvokationHandler {
 public:
  Handler()
      : mProtocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override {
    try {
      aOutput = mCalls[aProcedure.GetProcedureName()](aInput["message"]);
    } catch (const Error& error) {
      throw jsonrpc::JsonRpcException(static_cast<int>(error.Code()),
                                      error.what());
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure&,
                              const Json::Value&) override {}

  std::unique_ptr<jsonrpc::IProtocolHandler> mProtocol;
  std::map<std::string, std::function<Json::Value(const Json::Value&)>> mCalls;
};

RpcDispatcher::RpcDispatcher(std::string aKey)
    : mKey(std::move(aKey)), mHandler(std::make_unique<Handler>()) {}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::On(const std::string& aMethod,
                       std::function<Json::Value(const Json::Value&)> aCall) {
  mHandler->mCalls[aMethod] = std::move(aCall);
  mHandler->mProtocol->AddProcedure(
      jsonrpc::Procedure(aMethod, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                         "message", jsonrpc::JSON_OBJECT, nullptr));
}

void RpcDispatcher::Handle(HttpExchange& aExchange) {
  if (aExchange.BearerKey() != mKey) {
    aExchange.Reply(kHttpUnauthorized, kJsonType, "{}");
    return;
  }
  std::string reply;
  mHandler->mProtocol->HandleRequest(aExchange.Body(), reply);
  aExchange.Reply(kHttpOk, kJsonType, reply);
}

}  // namespace spindleweir
