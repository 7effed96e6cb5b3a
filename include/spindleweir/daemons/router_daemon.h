/// A router: takes callers' requests and streams answers.
#pragma once

#include <memory>
#include <string>

#include "spindleweir/core/settings.h"
#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/servers/routing/chain_chooser.h"

namespace spindleweir {

/// Settings of a router.
struct RouterOptions {
  std::string mId;
  std::string mZone;
  Endpoint mListen;       ///< For callers.
  Endpoint mRpcListen;    ///< For our processes.
  std::string mEntryVms;  ///< Path of the list of entry VMs.
  Endpoint mPlatform;
  std::string mClusterKey;
  std::string mPortFile;  ///< Where to write the addresses; empty: nowhere.
  int mMaximumInFlight = 512;
  int mMaximumQueue = 1024;
  int mMaxLoads = 4;           ///< Loads at a time in the zone.
  Millis mStallTimeout = 700;  ///< Without a token before engines are probed.
  /// Replaces the choice of chains, as the bench does to compare others.
  std::function<ChainChoice(std::span<const ChainCandidate>, const ChainQuery&)>
      mChooseChain = ChooseChain;
  /// Told of each configuration when it comes into force here.
  std::function<void(std::int64_t)> mOnConfiguration;
  Millis mStopUnready = 2000;  ///< Serves on so long after becoming unready.
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
  /// A planned stop: takes nothing new, serves what is in flight to its end,
  /// then stops the loop.
  void Stop();

 private:
  struct Parts;
  std::unique_ptr<Parts> mParts;
};

}  // namespace spindleweir
