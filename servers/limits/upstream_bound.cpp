#include "spindleweir/servers/limits/upstream_bound.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// The part of the capacity that is divided evenly, whatever is known of peers.
/// The other half is for routers with more demand.
constexpr double kEvenFraction = 0.5;

/// Whether aMore fits beside what this router and its peers have there. aMax:
/// the upstream's capacity. All are in the same unit, requests or bytes.
bool Fits(double aMax, double aLocal, double aPeers, double aMore,
          int aRouters) {
  const double routers = std::max(1, aRouters);
  const double evenPart = kEvenFraction * aMax / routers;
  if (aLocal + aMore <= evenPart) {
    return true;
  }
  // With more routers than places, an even part is too small for a request, so
  // nothing is reserved for the peers' parts.
  const double reserved = evenPart < aMore ? 0 : evenPart * (routers - 1);
  return aLocal + std::max(aPeers, reserved) + aMore <= aMax;
}

}  // namespace

double UnreportedRequests(const UpstreamOccupancy& aOccupancy) {
  // Peers are assumed to send at the same rate as this router, and requests to
  // have ended after the typical time.
  const Millis unreportedMillis =
      std::min(aOccupancy.mPeerReportAge, aOccupancy.mTypicalTime);
  return aOccupancy.mLocalRate *
         static_cast<double>(std::max<Millis>(0, unreportedMillis)) *
         std::max(0, aOccupancy.mRouters - 1);
}

bool MaySendTo(const UpstreamOccupancy& aOccupancy,
               const UpstreamBoundOptions& aOptions) {
  if (aOccupancy.mSlots <= 0) {
    return true;
  }
  const double capacity =
      aOccupancy.mSlots + std::max(static_cast<double>(aOptions.mMinQueue),
                                   aOptions.mQueuePerSlot * aOccupancy.mSlots);
  const double peers = aOccupancy.mPeers + UnreportedRequests(aOccupancy);
  if (!Fits(capacity, aOccupancy.mLocal, peers, 1, aOccupancy.mRouters)) {
    return false;
  }
  if (aOptions.mBodyBytes <= 0) {
    return true;
  }
  // Peers don't report bytes: their requests count as large as the local ones.
  const double bytesEach = (aOccupancy.mLocalBytes + aOccupancy.mBodyBytes) /
                           (aOccupancy.mLocal + 1);
  return Fits(aOptions.mBodyBytes, aOccupancy.mLocalBytes, peers * bytesEach,
              aOccupancy.mBodyBytes, aOccupancy.mRouters);
}

}  // namespace spindleweir
