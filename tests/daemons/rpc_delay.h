/// A proxy in front of the RPC address of one control process that delays
/// selected messages. Tests use it to reproduce an order of events that occurs
/// only by chance on a busy machine.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "spindleweir/drivers/http_client.h"
#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// Returns the delay of a message with this body; 0: none.
using RpcDelayHook = std::function<Millis(std::string_view)>;

class RpcDelay {
 public:
  /// aDelay is called for each message.
  RpcDelay(EventLoop& aLoop, Endpoint aControl, RpcDelayHook aDelay);

  const Endpoint& Address() const { return mServer.Address(); }

 private:
  void Handle(const std::shared_ptr<HttpExchange>& aExchange);
  void Forward(const std::shared_ptr<HttpExchange>& aExchange);

  EventLoop& mLoop;
  Endpoint mControl;
  RpcDelayHook mDelay;
  HttpClient mClient;
  HttpServer mServer;
};

}  // namespace spindleweir
