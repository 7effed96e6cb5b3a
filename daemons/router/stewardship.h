/// The steward's work on a router: holds the zone's lease and gives its
/// engines the orders that the accepted placement needs.
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

/// Every router runs it; one in each zone holds the lease.
class Stewardship {
 public:
  Stewardship(RouterContext& aContext, RpcDispatcher& aDispatcher);

  /// Gives the lease back.
  void Stop();

 private:
  void Start(const EntryVms& aVms);
  void Broadcast(const LeaseRequest& aRequest);
  void Tick();
  void LogLease(bool aHolds);
  void UpdateTarget(std::span<const EngineReport> aEngines, Millis aNow);
  void Repair(std::span<const EngineReport> aEngines,
              const std::set<std::string>& aUsable);
  void Send(const EngineOrder& aOrder);

  RouterContext& mContext;
  std::unique_ptr<LeaseVoter> mVoter;
  std::unique_ptr<LeaseHolder> mHolder;
  std::size_t mVoters = 0;
  std::int64_t mStarts = 0;  ///< Of the holder, within this process.
  bool mLeaseHeld = false;
  std::map<std::string, Millis> mLastOrderAt;  ///< By engine.
  /// The zone's placement that orders lead to: the accepted one, or the one
  /// that repairs it.
  std::vector<StagePlacement> mTargetPlacement;
  std::int64_t mTargetVersion = 0;  ///< Of the configuration it is made for.
  std::set<std::string> mPlannedEngines;  ///< Usable engines when it was made.
  std::set<std::string> mLastUsable;
  Millis mUsableSince = 0;  ///< Since when mLastUsable is unchanged.
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
