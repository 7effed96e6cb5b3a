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

void ShareDivider::SetOwn(std::span<const WorkspaceDemand> aDemands) {
  mOwn = ToMap(aDemands);
}

void ShareDivider::Heard(const std::string& aPeer,
                         std::span<const WorkspaceDemand> aDemands) {
  mPeers[aPeer] = ToMap(aDemands);
}

void ShareDivider::Forget(const std::string& aPeer) {
  mPeers.erase(aPeer);
}

double ShareDivider::Share(const std::string& aWorkspace,
                           std::size_t aRouters) const {
  const double even = 1.0 / static_cast<double>(aRouters == 0 ? 1 : aRouters);
  const double own = DemandOf(mOwn, aWorkspace);
  double sum = own;
  for (const auto& [peer, demands] : mPeers) {
    sum += DemandOf(demands, aWorkspace);
  }
  if (sum <= 0) {
    return even;
  }
  return mEvenPart * even + (1 - mEvenPart) * own / sum;
}

}  // namespace spindleweir
