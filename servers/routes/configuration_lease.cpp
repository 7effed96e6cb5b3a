#include "spindleweir/servers/routes/configuration_lease.h"

#include <algorithm>

namespace spindleweir {

void ConfigurationLease::Confirm(std::int64_t aNewestVersion,
                                 std::int64_t aLocalVersion, Millis aPolledAt,
                                 Millis aAge) {
  if (aNewestVersion <= aLocalVersion) {
    mConfirmedAt = std::max(mConfirmedAt, aPolledAt - aAge);
  }
}

bool ConfigurationLease::IsValid(Millis aNow) const {
  return mConfirmedAt >= 0 && aNow - mConfirmedAt < mDuration;
}

Millis ConfigurationLease::Age(Millis aNow) const {
  return mConfirmedAt < 0 ? -1 : aNow - mConfirmedAt;
}

}  // namespace spindleweir
