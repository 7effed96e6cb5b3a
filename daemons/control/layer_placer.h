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
  struct Stability {
    std::size_t mCount = 0;
    Millis mChangedAt = 0;
    Millis mSince = 0;
  };

  /// What a plan is made of: one engine of it.
  struct PlanInputEngine {
    std::string mInstance;
    std::int64_t mStart = 0;
    LayerRange mLayers;
    bool mBusy = false;

    bool operator==(const PlanInputEngine&) const = default;
  };
  /// What a plan that had nothing to change was made of.
  struct PlanInput {
    std::int64_t mVersion = 0;  ///< Of the configuration.
    std::vector<PlanInputEngine> mEngines;

    bool operator==(const PlanInput&) const = default;
  };

  void Step();
  void PlaceService(const TrafficService& aService);
  /// Zones of which half the engines or more are not heard: the zone is cut
  /// off rather than its engines lost, and orders would come late.
  std::set<std::string> CutOffZones(const std::string& aService,
                                    const std::set<std::string>& aLost) const;
  /// Orders for these engines. The same engines are not lastInput twice in
  /// vain: judging all moves of a zone costs milliseconds of a small processor.
  std::vector<LayerOrder> Plan(
      const TrafficService& aService,
      const std::vector<const UpstreamRecord*>& aViews);
  bool IsStable(const std::string& aService, std::size_t aCount, Millis aNow);
  /// Sends orders, or hands most of them to the other controls.
  void SendOrders(const std::vector<LayerOrder>& aOrders);
  void ForwardOrders(const Endpoint& aControl, HandedOrders aOrders);
  /// Takes the orders of a leader.
  void OnForwardedOrders(const HandedOrders& aOrders);
  /// Whether an order may leave: see OrderSender.
  bool IsCurrent(const HandedOrder& aOrder, std::int64_t aFence);
  void OnOrderAnswered(const HandedOrder& aOrder, int aStatus);
  /// Notes the answer of an engine, where its order is still the newest.
  void RecordStatus(const HandedOrder& aOrder, int aStatus);

  ControlContext& mContext;
  ReplicatedConfiguration& mLog;
  SyncService& mSync;
  std::map<std::string, Pending> mPending;           ///< By instance.
  std::map<std::string, Stability> mStability;       ///< By service.
  std::map<std::string, PlanInput> mLastPlanInputs;  ///< By service.
  OrderSender mSender;
  std::string
      mForwardingLeader;  ///< Id of the leader that handed orders over last.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
