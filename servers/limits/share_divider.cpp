#include "spindleweir/servers/limits/share_divider.h"

namespace spindleweir {

namespace {

std::map<std::string, double> ToMap(std::span<const WorkspaceDemand> aDemands) {
  std::map<std::string, double> demands;
  for (const WorkspaceDemand& demand : aDemands) {
    demands[demand.mWorkspace] = demand.mDemand;
  }
  return demands;
}

double DemandOf(const std::map<std::string, double>& aDemands,
                const std::string& aWorkspace) {
  const auto it = aDemands.find(aWorkspace);
  return it == aDemands.end() ? 0 : it->second;
}

}  // namespace

void ShareDivider::SetLocal(std::span<const WorkspaceDemand> aDemands) {
  mLocal = ToMap(aDemands);
}

void ShareDivider::UpdateFromPeer(const std::string& aPeer,
                                  std::span<const WorkspaceDemand> aDemands) {
  mPeers[aPeer] = ToMap(aDemands);
}

void ShareDivider::RemovePeer(const std::string& aPeer) {
  mPeers.erase(aPeer);
}

double ShareDivider::Share(const std::string& aWorkspace,
                           std::size_t aRouters) const {
  const double evenShare =
      1.0 / static_cast<double>(aRouters == 0 ? 1 : aRouters);
  const double local = DemandOf(mLocal, aWorkspace);
  double sum = local;
  for (const auto& [peer, demands] : mPeers) {
    sum += DemandOf(demands, aWorkspace);
  }
  if (sum <= 0) {
    return evenShare;
  }
  return mEvenFraction * evenShare + (1 - mEvenFraction) * local / sum;
}

}  // namespace spindleweir
