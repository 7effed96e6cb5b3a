/// Tells the counters of a process in the Prometheus text format.
#pragma once

#include <functional>

#include "spindleweir/core/counters.h"
#include "spindleweir/drivers/stream_server.h"

namespace spindleweir {

/// What is told.
struct MetricsServerOptions {
  Endpoint mListen;
  Counters* mCounters = nullptr;
  /// Called before each answer, to set gauges.
  std::function<void()> mRefresh;
};

/// Answers GET /metrics.
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
