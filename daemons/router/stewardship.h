/// The steward role of a router: holds the zone's lease and sends its engines
/// the orders that lead to the accepted placement.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "daemons/router/router_context.h"
#include "spindleweir/drivers/rpc_dispatcher.h"
#include "spindleweir/servers/membership/steward_lease.h"

namespace spindleweir {

/// Runs on every router; one router in each zone holds the lease.
class Stewardship {
 public:
  Stewardship(RouterContext& aContext, RpcDispatcher& aDispatcher);

  /// Releases the lease.
  void Stop();

 private:
  void Start(const EntryVms& aVms);
  void Broadcast(const LeaseRequest& aRequest);
  void Tick();
  void LogLease(bool aHolds);
  /// Sets the target placement after a new configuration or a change of the
  /// usable engines.
  void UpdateTarget(std::span<const EngineReport> aEngines, Millis aNow);
  void Repair(std::span<const EngineReport> aEngines,
              const std::set<std::string>& aUsable);
  void Send(const EngineOrder& aOrder);

  RouterContext& mContext;
  std::unique_ptr<LeaseVoter> mVoter;
  std::unique_ptr<LeaseHolder> mHolder;
  std::size_t mVoters = 0;
  std::int64_t mHoldersCreated = 0;  ///< Times that a holder was created here.
  bool mLeaseHeld = false;
  std::map<std::string, Millis> mLastOrderAt;  ///< By engine name.
  /// The placement of the zone that orders lead to: the accepted placement, or
  /// its repair after losses.
  std::vector<StagePlacement> mTargetPlacement;
  std::int64_t mTargetVersion = 0;        ///< Its configuration's version.
  std::set<std::string> mPlannedEngines;  ///< Engines it was planned for.
  std::set<std::string> mLastUsable;
  Millis mUsableSince = 0;  ///< Last change of mLastUsable.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
