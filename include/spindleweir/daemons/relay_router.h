/// A router that finds control by its seeds and forwards requests by the routes
/// of the configuration version that control confirmed.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "spindleweir/core/counters.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/settings.h"
#include "spindleweir/daemons/heartbeat_answer.h"
#include "spindleweir/daemons/traffic_protocols.h"
#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/drivers/stream_client.h"
#include "spindleweir/servers/limits/upstream_bound.h"
#include "spindleweir/servers/routing/relative_costs.h"
#include "spindleweir/servers/routing/retry_allowance.h"

namespace spindleweir {

/// Settings of a relaying router.
struct RelayOptions {
  std::string mId;
  std::string mZone;
  Endpoint mListen;              ///< Address for callers.
  std::vector<Endpoint> mSeeds;  ///< RPC addresses of some controls.
  /// "IP:PORT" at which this router receives heartbeats; empty: none.
  std::string mHeartbeatAddress;
  /// Address at which this router forwards calls of routers that have lost
  /// their links to upstreams; without a host: it forwards none.
  Endpoint mForwardingListen;
  std::string mClusterKey;
  /// A configuration that control has not confirmed for this time is not used.
  Millis mLeaseLength = 4000;
  /// How long a router that has just started holds a request until it knows
  /// enough to forward it. After a restart of all processes most callers come
  /// with the last of their attempts: refusing them lost 5 % of a day's
  /// requests, whereas waiting serves all but 1 %. Callers leave a stream after
  /// about two seconds without an event.
  Millis mStartWait = 1500;
  /// How long a router that has just started is not ready for want of a
  /// complete path: callers are better sent to other zones, but all may have
  /// none.
  Millis mMaxPathWait = 12000;
  /// All requests must have ended within this time after a stop signal.
  Millis mStopGrace = 8000;
  RetryLimits mRetries;
  RelativeCosts mCosts;
  /// Memory of the process; 0: not known, and the memory held for callers is
  /// only limited for each of them.
  std::size_t mMemoryBytes = 0;
  /// Size of the system's buffers of a connection, each way, in bytes; 0:
  /// computed from mMemoryBytes.
  std::size_t mSocketBufferBytes = 0;
  /// File descriptors for callers and upstreams together; 0: not known.
  std::size_t mDescriptors = 0;
  std::size_t mMaxConnections = 3000;  ///< Connections of callers.
  UpstreamBoundOptions mUpstreams;     ///< For plain services.
  CallerProtocol mCallers;
  EngineProtocol mEngines;
  /// Starts each call to an upstream; tests inject links that fail.
  StartCallHook mStartCall = &StartStreamCall;
};

/// One router in an event loop.
class RelayRouter {
 public:
  RelayRouter(EventLoop& aLoop, RelayOptions aOptions);
  ~RelayRouter();
  RelayRouter(const RelayRouter&) = delete;
  RelayRouter& operator=(const RelayRouter&) = delete;

  const Endpoint& Address() const;
  /// Whether the balancer should send callers to this router.
  bool Ready() const;
  /// Applies a heartbeat of an upstream in place of control.
  void ApplyHeartbeat(const UpstreamRecord& aRecord,
                      const HeartbeatDone& aDone);
  /// Applies the notice that an upstream is leaving. aStart: of the incarnation
  /// that leaves; 0 if not reported.
  void ApplyLeave(const std::string& aInstance, const HeartbeatDone& aDone,
                  std::int64_t aStart = 0);
  /// Counts an invalid heartbeat or notice of leaving.
  void RecordInvalidHeartbeat(const std::string& aInstance,
                              const Error& aReason);
  /// Replaces the seeds.
  void SetSeeds(std::vector<Endpoint> aSeeds);
  Counters& OwnCounters();
  /// Sets the gauges to the present state.
  void RefreshGauges();
  /// Begins a planned stop: requests in flight are completed, then the loop
  /// stops.
  void Stop();

 private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

}  // namespace spindleweir
