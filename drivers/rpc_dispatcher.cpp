#include "spindleweir/drivers/rpc_dispatcher.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <optional>
#include <utility>

#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnauthorized = 401;
constexpr const char* kJsonType = "application/json";

[[noreturn]] void ThrowAsJsonRpc(const Error& aError) {
  throw jsonrpc::JsonRpcException(static_cast<int>(aError.Code()),
                                  aError.what());
}

/// A call that may be answered after its handler has returned.
class DeferredCall {
 public:
  void Answer(const RpcAnswer& aAnswer) {
    if (std::exchange(mIsAnswered, true)) {
      return;
    }
    if (mExchange == nullptr) {
      mEarlyAnswer = aAnswer;
      return;
    }
    Json::Value reply(Json::objectValue);
    reply["jsonrpc"] = "2.0";
    reply["id"] = mId;
    if (const auto* error = std::get_if<Error>(&aAnswer)) {
      reply["error"]["code"] = static_cast<int>(error->Code());
      reply["error"]["message"] = error->what();
    } else {
      reply["result"] = std::get<Json::Value>(aAnswer);
    }
    std::exchange(mExchange, nullptr)
        ->Reply(kHttpOk, kJsonType, DumpJson(reply));
  }

  /// The answer that was given before Defer(); nullptr: none was.
  const RpcAnswer* EarlyAnswer() const {
    return mEarlyAnswer.has_value() ? &*mEarlyAnswer : nullptr;
  }
  /// The answer goes to this exchange, to the request of the id aId.
  void Defer(std::shared_ptr<HttpExchange> aExchange, Json::Value aId) {
    mExchange = std::move(aExchange);
    mId = std::move(aId);
  }

 private:
  bool mIsAnswered = false;
  std::optional<RpcAnswer> mEarlyAnswer;
  std::shared_ptr<HttpExchange> mExchange;  ///< nullptr until Defer().
  Json::Value mId;
};

}  // namespace

/// Connects libjsonrpccpp's protocol handler to the registered functions.
class RpcDispatcher::Handler : public jsonrpc::IProcedureInvokationHandler {
 public:
  Handler()
      : mProtocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void AddProcedure(const std::string& aMethod) {
    mProtocol->AddProcedure(jsonrpc::Procedure(aMethod, jsonrpc::PARAMS_BY_NAME,
                                               jsonrpc::JSON_OBJECT, "message",
                                               jsonrpc::JSON_OBJECT, nullptr));
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override {
    const std::string& method = aProcedure.GetProcedureName();
    try {
      if (mDeferredCalls.contains(method)) {
        CallDeferred(method, aInput["message"], aOutput);
        return;
      }
      aOutput = mCalls[method](aInput["message"]);
    } catch (const Error& error) {
      ThrowAsJsonRpc(error);
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure&,
                              const Json::Value&) override {}

  void CallDeferred(const std::string& aMethod, const Json::Value& aMessage,
                    Json::Value& aOutput) {
    if (mIsBatch) {
      throw Error(ResultCode::kBadField, aMethod + " can't be in a batch");
    }
    const auto call = std::make_shared<DeferredCall>();
    mDeferredCalls[aMethod](
        aMessage, [call](const RpcAnswer& aAnswer) { call->Answer(aAnswer); });
    const RpcAnswer* answer = call->EarlyAnswer();
    if (answer == nullptr) {
      mOpenCall = call;
      return;
    }
    if (const auto* error = std::get_if<Error>(answer)) {
      throw Error(*error);
    }
    aOutput = std::get<Json::Value>(*answer);
  }

  std::unique_ptr<jsonrpc::IProtocolHandler> mProtocol;
  std::map<std::string, std::function<Json::Value(const Json::Value&)>> mCalls;
  std::map<std::string,
           std::function<void(const Json::Value&, const RpcReplyHook&)>>
      mDeferredCalls;
  bool mIsBatch = false;  ///< The request that is handled is a batch.
  /// Of the request that is handled, if its answer comes later.
  std::shared_ptr<DeferredCall> mOpenCall;
};

RpcDispatcher::RpcDispatcher(std::string aKey)
    : mKey(std::move(aKey)), mHandler(std::make_unique<Handler>()) {}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::On(const std::string& aMethod,
                       std::function<Json::Value(const Json::Value&)> aCall) {
  mHandler->mCalls[aMethod] = std::move(aCall);
  mHandler->AddProcedure(aMethod);
}

void RpcDispatcher::OnDeferred(
    const std::string& aMethod,
    std::function<void(const Json::Value&, const RpcReplyHook&)> aCall) {
  mHandler->mDeferredCalls[aMethod] = std::move(aCall);
  mHandler->AddProcedure(aMethod);
}

void RpcDispatcher::Handle(const std::shared_ptr<HttpExchange>& aExchange) {
  if (aExchange->BearerKey() != mKey) {
    aExchange->Reply(kHttpUnauthorized, kJsonType, "{}");
    return;
  }
  const std::string& body = aExchange->Body();
  const std::size_t first = body.find_first_not_of(" \t\r\n");
  mHandler->mIsBatch = first != std::string::npos && body[first] == '[';
  std::string reply;
  mHandler->mProtocol->HandleRequest(body, reply);
  const std::shared_ptr<DeferredCall> open =
      std::exchange(mHandler->mOpenCall, nullptr);
  if (open != nullptr) {
    // Of the reply, which has no result yet, the id is what counts.
    open->Defer(aExchange, ParseJson(reply)["id"]);
    return;
  }
  aExchange->Reply(kHttpOk, kJsonType, reply);
}

}  // namespace spindleweir
