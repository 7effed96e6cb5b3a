#include "spindleweir/servers/limits/upstream_bound.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// The part of the bound that is divided evenly and holds whatever is known.
/// The other half is for those who are asked more.
constexpr double kEvenPart = 0.5;

/// aMost: of what the upstream can hold; the rest in the same unit.
bool Fits(double aMost, double aOwn, double aOthers, double aMore,
          int aRouters) {
  const double routers = std::max(1, aRouters);
  const double even = kEvenPart * aMost / routers;
  if (aOwn + aMore <= even) {
    return true;
  }
  // With more routers than places an even part holds no request: nothing is
  // kept free for it.
  const double kept = even < aMore ? 0 : even * (routers - 1);
  return aOwn + std::max(aOthers, kept) + aMore <= aMost;
}

}  // namespace

double UnreportedRequests(const UpstreamOccupancy& aOccupancy) {
  // Others are asked as much as this router, and what came has mostly ended
  // after the usual time.
  const Millis time = std::min(aOccupancy.mNewsAge, aOccupancy.mUsualTime);
  return aOccupancy.mOwnRate * static_cast<double>(std::max<Millis>(0, time)) *
         std::max(0, aOccupancy.mRouters - 1);
}

bool MaySendTo(const UpstreamOccupancy& aOccupancy,
               const UpstreamBoundOptions& aOptions) {
  if (aOccupancy.mSlots <= 0) {
    return true;
  }
  const double places =
      aOccupancy.mSlots + std::max(static_cast<double>(aOptions.mQueueAtLeast),
                                   aOptions.mQueueEachSlot * aOccupancy.mSlots);
  const double others = aOccupancy.mOthers + UnreportedRequests(aOccupancy);
  if (!Fits(places, aOccupancy.mOwn, others, 1, aOccupancy.mRouters)) {
    return false;
  }
  if (aOptions.mBodyBytes <= 0) {
    return true;
  }
  // Others' bytes are not told: their requests count as large as the own.
  const double each =
      (aOccupancy.mOwnBytes + aOccupancy.mBodyBytes) / (aOccupancy.mOwn + 1);
  return Fits(aOptions.mBodyBytes, aOccupancy.mOwnBytes, others * each,
              aOccupancy.mBodyBytes, aOccupancy.mRouters);
}

}  // namespace spindleweir
