/// Stands between processes and one control's RPC address, and holds chosen
/// messages back, so that a test plays an order of events that a busy machine
/// brings by chance.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "spindleweir/drivers/http_client.h"
#include "spindleweir/drivers/http_server.h"

namespace spindleweir {

/// For how long a message is held back, by its body; 0: not at all.
using RpcDelayHook = std::function<Millis(std::string_view)>;

class RpcDelay {
 public:
  /// aDelay is asked for each message that comes.
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
