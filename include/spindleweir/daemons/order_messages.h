/// Messages by which a leader forwards orders for engines to other controls.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

namespace rpc_method {
/// Carries ForwardedOrders, from the leader to another control.
inline constexpr const char* kOrders = "control.orders";
/// Carries an OrderRefusal, from that control to the leader.
inline constexpr const char* kOrderRefused = "control.order_refused";
}  // namespace rpc_method

/// An order to an engine to hold layers.
struct ForwardedOrder {
  std::string mInstance;
  std::string mAddress;  ///< "IP:PORT".
  LayerRange mLayers;
  std::int64_t mStart = 0;  ///< Of the incarnation that must obey.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("instance", mInstance);
    aCodec.Required("address", mAddress);
    aCodec.Required("layers", mLayers);
    aCodec.Field("start", mStart);
  }
};

/// Orders that a leader forwards, all of one term.
struct ForwardedOrders {
  std::int64_t mFence = 0;  ///< The leader's term.
  std::string mLeader;      ///< The leader's id.
  std::vector<ForwardedOrder> mOrders;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("fence", mFence);
    aCodec.Required("leader", mLeader);
    aCodec.Required("orders", mOrders);
  }
};

/// Reports that an engine did not accept an order.
struct OrderRefusal {
  ForwardedOrder mOrder;
  int mStatus = 0;  ///< HTTP status of the engine's answer.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("order", mOrder);
    aCodec.Required("status", mStatus);
  }
};

}  // namespace spindleweir
