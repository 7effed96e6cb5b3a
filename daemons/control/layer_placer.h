/// Orders layers to engines while this control leads.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "daemons/control/sync_service.h"
#include "spindleweir/drivers/stream_client.h"

namespace spindleweir {

/// One orderer at a time: the leader, with its term as the fence.
class LayerPlacer {
 public:
  LayerPlacer(ControlContext& aContext, ReplicatedConfiguration& aLog,
              SyncService& aSync);

 private:
  /// An order that was sent.
  struct Pending {
    LayerRange mLayers;
    Millis mSentAt = 0;
    std::unique_ptr<StreamCall> mCall;
    int mStatus = 0;
  };
  /// How long a service's engines have been the same.
  struct Settling {
    std::size_t mCount = 0;
    Millis mChangedAt = 0;
    Millis mSince = 0;
  };

  void Step();
  void PlaceService(const TrafficService& aService);
  /// Zones of which half the engines or more are not heard: the zone is cut
  /// off rather than its engines lost, and orders would come late.
  std::set<std::string> CutOffZones(const std::string& aService,
                                    const std::set<std::string>& aLost) const;
  bool Settled(const std::string& aService, std::size_t aCount, Millis aNow);
  void Order(const UpstreamRecord& aEngine, const LayerRange& aLayers);

  ControlContext& mContext;
  ReplicatedConfiguration& mLog;
  SyncService& mSync;
  std::map<std::string, Pending> mPending;    ///< By instance.
  std::map<std::string, Settling> mSettling;  ///< By service.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
