/// A router: accepts callers' requests and streams answers.
#pragma once

#include <memory>
#include <string>

#include "spindleweir/core/settings.h"
#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/drivers/http_client.h"
#include "spindleweir/servers/routing/chain_chooser.h"

namespace spindleweir {

/// Settings of a router.
struct RouterOptions {
  std::string mId;
  std::string mZone;
  Endpoint mListen;       ///< For callers.
  Endpoint mRpcListen;    ///< For controls and other routers.
  std::string mEntryVms;  ///< Path of the file that lists entry VMs.
  Endpoint mPlatform;
  std::string mClusterKey;
  std::string mPortFile;  ///< Path of a file that receives the
                          ///< addresses; empty: none is written.
  int mMaximumInFlight = 512;
  int mMaximumQueue = 1024;
  int mMaxLoads = 4;           ///< Concurrent layer loads in the zone.
  Millis mStallTimeout = 700;  ///< Without a token until engines are
                               ///< probed.
  /// Chooses chains; the bench replaces it to compare algorithms.
  std::function<ChainChoice(std::span<const ChainCandidate>, const ChainQuery&)>
      mChooseChain = ChooseChain;
  /// Called with the version of each configuration that comes into force.
  std::function<void(std::int64_t)> mOnConfiguration;
  /// Tests inject links that fail.
  LinkFailureHook mLinkFailureOf;
  Millis mStopUnready = 2000;  ///< Serves for this time after becoming
                               ///< unready.
  Millis mStopGrace = 60000;   ///< For requests in flight at a planned stop.
};

/// One router in an event loop.
class RouterDaemon {
 public:
  RouterDaemon(EventLoop& aLoop, RouterOptions aOptions);
  ~RouterDaemon();
  RouterDaemon(const RouterDaemon&) = delete;
  RouterDaemon& operator=(const RouterDaemon&) = delete;

  const Endpoint& CallerAddress() const;
  const Endpoint& RpcAddress() const;
  /// Stops as planned: accepts no new requests, completes those in flight, then
  /// stops the loop.
  void Stop();

 private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

}  // namespace spindleweir
