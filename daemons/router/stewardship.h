/// The steward's work on a router: holds the zone's lease and gives its
/// engines the orders that the accepted placement needs.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "daemons/router/router_context.h"
#include "spindleweir/drivers/rpc_dispatcher.h"
#include "spindleweir/servers/membership/steward_lease.h"

namespace spindleweir {

/// Every router runs it; one in each zone holds the lease.
class Stewardship {
 public:
  Stewardship(RouterContext& aContext, RpcDispatcher& aDispatcher);

  /// Gives the lease back.
  void Stop();

 private:
  void Start(const EntryVms& aVms);
  void Broadcast(const LeaseRequest& aRequest);
  void GiveOrders();
  void Send(const EngineOrder& aOrder);

  RouterContext& mContext;
  std::unique_ptr<LeaseVoter> mVoter;
  std::unique_ptr<LeaseHolder> mHolder;
  std::size_t mVoters = 0;
  std::int64_t mStarts = 0;  ///< Of the holder, within this process.
  bool mHeld = false;
  std::map<std::string, Millis> mOrderedAt;  ///< By engine.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
