/// A router that finds control by seeds and passes requests on by the routes
/// of a configuration that was accepted by its version.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "spindleweir/core/counters.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/settings.h"
#include "spindleweir/daemons/beat_answer.h"
#include "spindleweir/daemons/traffic_protocols.h"
#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/servers/limits/upstream_bound.h"
#include "spindleweir/servers/routing/relative_costs.h"
#include "spindleweir/servers/routing/retry_allowance.h"

namespace spindleweir {

/// Settings of such a router.
struct RelayOptions {
  std::string mId;
  std::string mZone;
  Endpoint mListen;              ///< For callers.
  std::vector<Endpoint> mSeeds;  ///< RPC addresses of some controls.
  /// "IP:PORT" where this router's heartbeat calls come in; empty: nowhere.
  std::string mHeartbeatAddress;
  std::string mClusterKey;
  /// A configuration that control did not confirm for so long is not acted on.
  Millis mLeaseLength = 4000;
  /// How long a router that has just started keeps a request until it knows
  /// enough to pass it on. After all processes were killed most callers come
  /// with the last of their attempts: refusing them lost 5 in 100 of a day's
  /// requests, waiting serves all but 1 in 100. Callers leave a stream after
  /// about two seconds without an event.
  Millis mStartWait = 1500;
  /// After a stop signal all must have ended within this time.
  Millis mStopGrace = 8000;
  RetryAllowanceOptions mRetries;
  RelativeCosts mCosts;
  /// Of the process; 0: not known, and what is held for callers has a bound
  /// for each of them only.
  std::size_t mMemoryBytes = 0;
  /// Of the system's buffers of a connection, each way, in bytes; 0: by
  /// mMemoryBytes.
  std::size_t mWindow = 0;
  /// For callers and upstreams together; 0: not known.
  std::size_t mDescriptors = 0;
  std::size_t mMaxConnections = 3000;  ///< Of callers.
  UpstreamBoundOptions mUpstreams;     ///< Of plain services.
  CallerProtocol mCallers;
  EngineProtocol mEngines;
};

/// One router in an event loop.
class RelayRouter {
 public:
  RelayRouter(EventLoop& aLoop, RelayOptions aOptions);
  ~RelayRouter();
  RelayRouter(const RelayRouter&) = delete;
  RelayRouter& operator=(const RelayRouter&) = delete;

  const Endpoint& Address() const;
  /// Whether the balancer should send callers here.
  bool Ready() const;
  /// Takes a heartbeat of an upstream in place of control.
  void ApplyHeartbeat(const UpstreamRecord& aRecord, const BeatDone& aDone);
  /// Takes the notice that an upstream leaves. aStart: of the incarnation that
  /// leaves; 0: not told.
  void ApplyLeave(const std::string& aInstance, const BeatDone& aDone,
                  std::int64_t aStart = 0);
  /// Counts a heartbeat, or a notice of leaving, that cannot be used.
  void RecordInvalidHeartbeat(const std::string& aInstance, const Error& aWhy);
  /// Takes new seeds.
  void SetSeeds(std::vector<Endpoint> aSeeds);
  Counters& OwnCounters();
  /// Sets the gauges that stand for the state of the moment.
  void RefreshGauges();
  /// A planned stop: what is in flight ends, then the loop stops.
  void Stop();

 private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

}  // namespace spindleweir
