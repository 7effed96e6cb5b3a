#include "spindleweir/servers/limits/upstream_bound.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// Requests that others sent since the news and that are still under way: they
/// are asked as much as this router, and what came has mostly ended after the
/// usual time.
double Unseen(const UpstreamView& aView) {
  const Millis time = aView.mUsualTime > 0
                          ? std::min(aView.mNewsAge, aView.mUsualTime)
                          : aView.mNewsAge;
  return aView.mOwnRate * static_cast<double>(std::max<Millis>(0, time)) *
         std::max(0, aView.mRouters - 1);
}

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

bool MaySendTo(const UpstreamView& aView,
               const UpstreamBoundOptions& aOptions) {
  if (aView.mSlots <= 0) {
    return true;
  }
  const double places =
      aView.mSlots + std::max(static_cast<double>(aOptions.mQueueAtLeast),
                              aOptions.mQueueEachSlot * aView.mSlots);
  const double others = aView.mOthers + Unseen(aView);
  if (!Fits(places, aView.mOwn, others, 1, aView.mRouters)) {
    return false;
  }
  if (aOptions.mBodyBytes <= 0) {
    return true;
  }
  // Others' bytes are not told: their requests count as large as the own.
  const double each = (aView.mOwnBytes + aView.mBodyBytes) / (aView.mOwn + 1);
  return Fits(aOptions.mBodyBytes, aView.mOwnBytes, others * each,
              aView.mBodyBytes, aView.mRouters);
}

}  // namespace spindleweir
