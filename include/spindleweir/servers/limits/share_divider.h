/// Divides each workspace's limits over the routers by how much each of them
/// is asked, so that the limits hold over all of them together.
#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// How much one router is asked by one workspace: requests in flight, waiting,
/// and refused in the last second.
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
  /// demand, so that a router that is asked for the first time can admit.
  explicit ShareDivider(double aEvenFraction = 0.2)
      : mEvenFraction(aEvenFraction) {}

  /// Replaces this router's local demand.
  void SetLocal(std::span<const WorkspaceDemand> aDemands);
  /// Replaces what is known of a peer. A peer that is not heard any more
  /// keeps its last demand: when cut off, everyone keeps its last share.
  void UpdateFromPeer(const std::string& aPeer,
                      std::span<const WorkspaceDemand> aDemands);
  /// The peer is gone for good; the others may take its share.
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
