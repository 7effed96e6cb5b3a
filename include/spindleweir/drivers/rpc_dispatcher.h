/// The receiving side of calls between the processes of a deployment:
/// libjsonrpccpp's protocol handler on top of an HTTP exchange.
#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "spindleweir/core/error.h"
#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// The answer to a call: a message, or an Error that becomes a JSON-RPC error.
using RpcAnswer = std::variant<Json::Value, Error>;

/// Sends the answer to one call. Further calls of it have no effect.
using RpcReplyHook = std::function<void(const RpcAnswer&)>;

/// Dispatches JSON-RPC requests to registered functions.
class RpcDispatcher {
 public:
  /// aKey: the secret that all processes of the deployment share.
  explicit RpcDispatcher(std::string aKey);
  ~RpcDispatcher();
  RpcDispatcher(const RpcDispatcher&) = delete;
  RpcDispatcher& operator=(const RpcDispatcher&) = delete;

  /// Registers a method. An Error that aCall throws becomes a JSON-RPC error.
  void On(const std::string& aMethod,
          std::function<Json::Value(const Json::Value&)> aCall);

  /// Registers a method that may answer after aCall has returned, by the hook
  /// that it gets. An Error that aCall throws is the answer. Such a method
  /// can't be part of a JSON-RPC batch.
  void OnDeferred(
      const std::string& aMethod,
      std::function<void(const Json::Value&, const RpcReplyHook&)> aCall);

  /// Answers one request; 401 if the key is not that of the deployment.
  void Handle(const std::shared_ptr<HttpExchange>& aExchange);

 private:
  class Handler;
  std::string mKey;
  std::unique_ptr<Handler> mHandler;
};

}  // namespace spindleweir
