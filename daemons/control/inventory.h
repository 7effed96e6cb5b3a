/// The state of engines, VMs and routers as a control process knows it, for
/// plans and for operators.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "daemons/control/control_context.h"
#include "spindleweir/daemons/peer_messages.h"
#include "spindleweir/daemons/upstream_watcher.h"

namespace spindleweir {

/// Polls the platform, the engines and the routers.
class Inventory {
 public:
  /// aVersion returns the version of the configuration in force here.
  Inventory(ControlContext& aContext, std::function<std::int64_t()> aVersion);

  /// Whether each engine of the platform's list has reported, or has been
  /// silent long enough to count as gone. An earlier plan would cover only
  /// some of the engines.
  bool Complete() const;
  /// The engine reports that are at most kMaxReportAge old.
  std::vector<EngineReport> Engines() const;
  std::set<std::string> Leaving() const { return mView.KnownLeaving(); }
  bool KnowsVm(const std::string& aVm) const {
    return mView.Find(aVm) != nullptr;
  }
  /// The routers' reports and the upstreams, for /v1/state.
  Json::Value State() const;

 private:
  /// The last report of a router.
  struct RouterReport {
    Json::Value mState;
    Millis mReceivedAt = 0;
  };

  PeerState LocalState() const;
  void PollRouters();

  ControlContext& mContext;
  std::function<std::int64_t()> mVersion;
  UpstreamView mView;
  UpstreamWatcher mWatcher;
  LeavingSet mLeaving;
  std::map<std::string, RouterReport> mRouters;
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
