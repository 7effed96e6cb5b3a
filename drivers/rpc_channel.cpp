#include "spindleweir/drivers/rpc_channel.h"

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;

RpcResult ResultOf(const HttpResult& aResult) {
  RpcResult result;
  if (!aResult.mComplete || aResult.mStatus != kHttpOk) {
    return result;
  }
  try {
    const Json::Value reply = ParseJson(aResult.mBody);
    if (reply.isObject() && reply.isMember("result")) {
      result.mOk = true;
      result.mAnswer = reply["result"];
    }
  } catch (const Error&) {
    result.mOk = false;
  }
  return result;
}

}  // namespace

RpcChannel::RpcChannel(HttpClient& aClient, std::string aKey)
    : mClient(aClient), mKey(std::move(aKey)) {}

void RpcChannel::Call(const Endpoint& aServer, const std::string& aMethod,
                      const Json::Value& aMessage, Millis aTimeout,
                      std::function<void(const RpcResult&)> aDone) {
  Json::Value request(Json::objectValue);
  request["jsonrpc"] = "2.0";
  request["id"] = static_cast<Json::Int64>(mNextId++);
  request["method"] = aMethod;
  request["params"]["message"] = aMessage;
  HttpCallOptions options;
  options.mServer = aServer;
  options.mMethod = "POST";
  options.mPath = kRpcPath;
  options.mBody = DumpJson(request);
  options.mHeaders = {{"Authorization", "Bearer " + mKey},
                      {"Content-Type", "application/json"}};
  options.mTimeout = aTimeout;
  options.mOnDone = [this, server = aServer, method = aMethod,
                     done = std::move(aDone)](const HttpResult& aResult) {
    if (mOnBytes) {
      mOnBytes({.mServer = server,
                .mMethod = method,
                .mSent = aResult.mSentBytes,
                .mReceived = aResult.mReceivedBytes});
    }
    if (!done) {
      return;
    }
    try {
      done(ResultOf(aResult));
    } catch (const Error& error) {
      // Sent by another version, or malformed: treated as no answer.
      LogLine(LogLevel::kWarning, "answer_unreadable")
          .Add("code", static_cast<int>(error.Code()))
          .Add("why", error.what());
    }
  };
  mSentBytes += static_cast<std::int64_t>(options.mBody.size());
  mClient.StartDetached(std::move(options));
}

}  // namespace spindleweir
