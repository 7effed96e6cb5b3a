/// Orders engines to hold layers while this control leads.
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

/// Only the leader plans orders, and its term is their fence. Other controls
/// send the orders that the leader forwards to them.
class LayerPlacer {
 public:
  LayerPlacer(ControlContext& aContext, ReplicatedConfiguration& aLog,
              SyncService& aSync);

 private:
  /// An order that was sent.
  struct Pending {
    LayerRange mLayers;
    std::int64_t mStart = 0;  ///< Start of the incarnation that it was sent to.
    Millis mSentAt = 0;
    int mStatus = 0;  ///< HTTP status of the answer; 0: no answer yet.

    bool Refused() const;
  };
  /// The newest heartbeat of an engine that was known when another process
  /// answered at its address.
  struct LostAddress {
    std::int64_t mStart = 0;
    std::int64_t mSequence = 0;
  };
  /// Since when the number of a service's engines has been the same.
  struct Stability {
    std::size_t mCount = 0;
    Millis mChangedAt = 0;
    Millis mSince = 0;  ///< When the service first had engines.
  };

  /// One engine of a plan's input.
  struct PlanInputEngine {
    std::string mInstance;
    std::int64_t mStart = 0;
    LayerRange mLayers;
    bool mBusy = false;

    bool operator==(const PlanInputEngine&) const = default;
  };
  /// The input of a plan that had nothing to change.
  struct PlanInput {
    std::int64_t mVersion = 0;  ///< Version of the configuration.
    std::vector<PlanInputEngine> mEngines;

    bool operator==(const PlanInput&) const = default;
  };

  void Step();
  void PlaceService(const TrafficService& aService);
  /// Whether the engine can be sent orders.
  bool IsUsable(const UpstreamRecord& aEngine,
                const std::set<std::string>& aLost) const;
  /// Zones of which at least half of the engines are silent or unreachable.
  /// Such a zone is more likely cut off than its engines lost, and orders to it
  /// would arrive late.
  std::set<std::string> CutOffZones(const std::string& aService,
                                    const std::set<std::string>& aLost) const;
  /// Returns orders for these engines; none if the last plan with the same
  /// input had nothing to change: evaluating all moves of a zone takes
  /// milliseconds on a small processor.
  std::vector<LayerOrder> Plan(
      const TrafficService& aService,
      const std::vector<const UpstreamRecord*>& aViews);
  /// Whether the service has had aCount engines for kStableWindow, or
  /// kMaxStabilityWait has passed since it first had engines.
  bool IsStable(const std::string& aService, std::size_t aCount, Millis aNow);
  /// Sends orders. Above kMaxLocalOrders they are divided among the controls.
  void SendOrders(const std::vector<LayerOrder>& aOrders);
  void ForwardOrders(const Endpoint& aControl, ForwardedOrders aOrders);
  /// Sends orders that a leader forwarded. Throws kNotLeader if their term is
  /// older than the one known here.
  void OnForwardedOrders(const ForwardedOrders& aOrders);
  /// Whether an order may still be sent; see OrderSender::Hooks.
  bool IsCurrent(const ForwardedOrder& aOrder, std::int64_t aFence);
  void OnOrderAnswered(const ForwardedOrder& aOrder, int aStatus);
  /// Records the status of an engine's answer if its order is still the newest.
  void RecordStatus(const ForwardedOrder& aOrder, int aStatus);
  /// Another process answered at the engine's address, so that the engine has
  /// ended: nothing is ordered there until it is heard of again.
  void RecordLostAddress(const ForwardedOrder& aOrder);

  ControlContext& mContext;
  ReplicatedConfiguration& mLog;
  SyncService& mSync;
  std::map<std::string, Pending> mPending;            ///< By instance.
  std::map<std::string, LostAddress> mLostAddresses;  ///< By instance.
  std::map<std::string, Stability> mStability;        ///< By service.
  std::map<std::string, PlanInput> mLastPlanInputs;   ///< By service.
  OrderSender mSender;
  std::string
      mForwardingLeader;  ///< Id of the leader that forwarded orders last.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
