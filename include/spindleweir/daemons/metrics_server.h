/// Serves the counters of a process in the Prometheus text format.
#pragma once

#include <functional>

#include "spindleweir/core/counters.h"
#include "spindleweir/drivers/stream_server.h"

namespace spindleweir {

/// Settings of a MetricsServer.
struct MetricsServerOptions {
  Endpoint mListen;
  Counters* mCounters = nullptr;  ///< Must outlive the server.
  /// Called before each answer to set gauges; may be empty.
  std::function<void()> mRefresh;
};

/// Answers requests for /metrics; other paths get 404.
class MetricsServer {
 public:
  /// Throws kCannotListen.
  MetricsServer(EventLoop& aLoop, MetricsServerOptions aOptions);

  const Endpoint& Address() const { return mServer.Address(); }

 private:
  void Handle(StreamExchange& aExchange);

  MetricsServerOptions mOptions;
  StreamServer mServer;
};

}  // namespace spindleweir
