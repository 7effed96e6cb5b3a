/// Orders layers to engines while this control leads.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "daemons/control/order_sender.h"
#include "daemons/control/sync_service.h"
#include "spindleweir/servers/placement/layer_planner.h"

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
    std::int64_t mStart = 0;  ///< Of the incarnation it was sent to.
    Millis mSentAt = 0;
    int mStatus = 0;  ///< 0: no answer yet.

    bool Refused() const;
  };
  /// How long a service's engines have been the same.
  struct Settling {
    std::size_t mCount = 0;
    Millis mChangedAt = 0;
    Millis mSince = 0;
  };

  /// What a plan is made of: one engine of it.
  struct PlannedEngine {
    std::string mInstance;
    std::int64_t mStart = 0;
    LayerRange mLayers;
    bool mBusy = false;

    bool operator==(const PlannedEngine&) const = default;
  };
  /// What a plan that had nothing to change was made of.
  struct Planned {
    std::int64_t mVersion = 0;  ///< Of the configuration.
    std::vector<PlannedEngine> mEngines;

    bool operator==(const Planned&) const = default;
  };

  void Step();
  void PlaceService(const TrafficService& aService);
  /// Zones of which half the engines or more are not heard: the zone is cut
  /// off rather than its engines lost, and orders would come late.
  std::set<std::string> CutOffZones(const std::string& aService,
                                    const std::set<std::string>& aLost) const;
  /// Orders for these engines. The same engines are not planned twice in vain:
  /// judging all moves of a zone costs milliseconds of a small processor.
  std::vector<LayerOrder> Plan(
      const TrafficService& aService,
      const std::vector<const UpstreamRecord*>& aViews);
  bool Settled(const std::string& aService, std::size_t aCount, Millis aNow);
  /// Sends orders, or hands most of them to the other controls.
  void Give(const std::vector<LayerOrder>& aOrders);
  void HandOver(const Endpoint& aControl, HandedOrders aOrders);
  /// Takes the orders of a leader.
  void TakeOver(const HandedOrders& aOrders);
  /// Whether an order may leave: see OrderSender.
  bool Holds(const HandedOrder& aOrder, std::int64_t aFence);
  void Answered(const HandedOrder& aOrder, int aStatus);
  /// Notes the answer of an engine, where its order is still the newest.
  void Note(const HandedOrder& aOrder, int aStatus);

  ControlContext& mContext;
  ReplicatedConfiguration& mLog;
  SyncService& mSync;
  std::map<std::string, Pending> mPending;    ///< By instance.
  std::map<std::string, Settling> mSettling;  ///< By service.
  std::map<std::string, Planned> mPlanned;    ///< By service.
  OrderSender mSender;
  std::string mOrderer;  ///< Id of the leader that handed orders over last.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
