#include "spindleweir/servers/limits/upstream_bound.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// The part of the bound that is divided evenly and holds whatever is known.
/// The other half is for those who are asked more.
constexpr double kEvenFraction = 0.5;

/// aMax: of what the upstream can hold; the rest in the same unit.
bool Fits(double aMax, double aLocal, double aPeers, double aMore,
          int aRouters) {
  const double routers = std::max(1, aRouters);
  const double evenPart = kEvenFraction * aMax / routers;
  if (aLocal + aMore <= evenPart) {
    return true;
  }
  // With more routers than places an evenPart part holds no request: nothing is
  // reserved free for it.
  const double reserved = evenPart < aMore ? 0 : evenPart * (routers - 1);
  return aLocal + std::max(aPeers, reserved) + aMore <= aMax;
}

}  // namespace

double UnreportedRequests(const UpstreamOccupancy& aOccupancy) {
  // Others are asked as much as this router, and what came has mostly ended
  // after the usual time.
  const Millis time =
      std::min(aOccupancy.mPeerReportAge, aOccupancy.mTypicalTime);
  return aOccupancy.mLocalRate *
         static_cast<double>(std::max<Millis>(0, time)) *
         std::max(0, aOccupancy.mRouters - 1);
}

bool MaySendTo(const UpstreamOccupancy& aOccupancy,
               const UpstreamBoundOptions& aOptions) {
  if (aOccupancy.mSlots <= 0) {
    return true;
  }
  const double places =
      aOccupancy.mSlots + std::max(static_cast<double>(aOptions.mMinQueue),
                                   aOptions.mQueuePerSlot * aOccupancy.mSlots);
  const double peers = aOccupancy.mPeers + UnreportedRequests(aOccupancy);
  if (!Fits(places, aOccupancy.mLocal, peers, 1, aOccupancy.mRouters)) {
    return false;
  }
  if (aOptions.mBodyBytes <= 0) {
    return true;
  }
  // Others' bytes are not told: their requests count as large as the own.
  const double bytesEach = (aOccupancy.mLocalBytes + aOccupancy.mBodyBytes) /
                           (aOccupancy.mLocal + 1);
  return Fits(aOptions.mBodyBytes, aOccupancy.mLocalBytes, peers * bytesEach,
              aOccupancy.mBodyBytes, aOccupancy.mRouters);
}

}  // namespace spindleweir
