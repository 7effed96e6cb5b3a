/// The receiving side of calls between the processes of a deployment:
/// libjsonrpccpp's protocol handler on top of an HTTP exchange.
#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

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

  /// Answers one request; 401 if the key is not that of the deployment.
  void Handle(HttpExchange& aExchange);

 private:
  class Handler;
  std::string mKey;
  std::unique_ptr<Handler> mHandler;
};

}  // namespace spindleweir
