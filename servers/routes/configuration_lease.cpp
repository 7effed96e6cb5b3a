#include "spindleweir/servers/routes/configuration_lease.h"

#include <algorithm>

namespace spindleweir {

void ConfigurationLease::Confirm(std::int64_t aNewest, std::int64_t aHeld,
                                 Millis aAskedAt, Millis aAge) {
  if (aNewest <= aHeld) {
    mAsOf = std::max(mAsOf, aAskedAt - aAge);
  }
}

bool ConfigurationLease::Holds(Millis aNow) const {
  return mAsOf >= 0 && aNow - mAsOf < mLength;
}

Millis ConfigurationLease::Age(Millis aNow) const {
  return mAsOf < 0 ? -1 : aNow - mAsOf;
}

}  // namespace spindleweir
