/// The receiving side of the calls between the system's own processes:
/// libjsonrpccpp's protocol handler behind an HTTP exchange.
#pragma once

#include <json/value.h>

#include <functional>
#include <memory>
#include <string>

#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// Answers JSON-RPC requests by the functions registered with it.
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

  /// Answers one request; 401 where the key is not the deployment's.
  void Handle(HttpExchange& aExchange);

 private:
  class Handler;
  std::string mKey;
  std::unique_ptr<Handler> mHandler;
};

}  // namespace spindleweir
