/// Divides each workspace's limits among the routers by their demand, so that
/// the limits hold for all routers together.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// A workspace's demand at one router: requests in flight, queued, and refused
/// in the last second.
struct WorkspaceDemand {
  std::string mWorkspace;
  double mDemand = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("workspace", mWorkspace);
    aCodec.Required("demand", mDemand);
  }
};

/// One router's view of the demand at all routers.
class ShareDivider {
 public:
  /// aEvenFraction: the part of each limit that is divided evenly whatever the
  /// demand, so that a router that gets its first requests can admit some.
  explicit ShareDivider(double aEvenFraction = 0.2)
      : mEvenFraction(aEvenFraction) {}

  /// Replaces this router's own demand.
  void SetLocal(std::span<const WorkspaceDemand> aDemands);
  /// Replaces a peer's demand. A peer that no longer reports retains its last
  /// demand, so that routers that are cut off from each other all retain their
  /// last share.
  void UpdateFromPeer(const std::string& aPeer,
                      std::span<const WorkspaceDemand> aDemands);
  /// The peer is gone for good; the others may use its share.
  void RemovePeer(const std::string& aPeer);

  /// This router's share of the workspace's limits, from 0 to 1.
  double Share(const std::string& aWorkspace, std::size_t aRouters) const;

 private:
  using Demands = std::map<std::string, double>;

  double mEvenFraction;
  Demands mLocal;
  std::map<std::string, Demands> mPeers;
};

}  // namespace spindleweir
