/// Calls between the processes of a deployment: JSON-RPC 2.0 over HTTP.
#pragma once

#include <json/value.h>

#include <functional>
#include <string>

#include "spindleweir/drivers/http_client.h"

namespace spindleweir {

/// The path at which every process serves JSON-RPC.
inline constexpr const char* kRpcPath = "/rpc";

/// How a call ended.
struct RpcResult {
  bool mOk = false;     ///< An answer came, and it is not an error.
  Json::Value mAnswer;  ///< The answer; null if there is none.
};

/// Bytes that one call transferred, including HTTP heads.
struct RpcBytes {
  Endpoint mServer;
  std::string mMethod;
  std::int64_t mSent = 0;
  std::int64_t mReceived = 0;
};

/// Sends calls to other processes.
class RpcChannel {
 public:
  /// aKey: the secret that all processes of the deployment share.
  RpcChannel(HttpClient& aClient, std::string aKey);

  /// Sends one call; aDone (may be empty) is called once.
  void Call(const Endpoint& aServer, const std::string& aMethod,
            const Json::Value& aMessage, Millis aTimeout,
            std::function<void(const RpcResult&)> aDone);

  /// Calls aCall for each call that ended, including those without an answer.
  void OnBytes(std::function<void(const RpcBytes&)> aCall) {
    mOnBytes = std::move(aCall);
  }

  /// Total bytes of request bodies sent, without HTTP heads.
  std::int64_t SentBytes() const { return mSentBytes; }

 private:
  HttpClient& mClient;
  std::string mKey;
  std::int64_t mNextId = 1;
  std::int64_t mSentBytes = 0;
  std::function<void(const RpcBytes&)> mOnBytes;
};

}  // namespace spindleweir
