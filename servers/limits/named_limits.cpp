#include "spindleweir/servers/limits/named_limits.h"

namespace spindleweir {

bool NamedLimits::Answered(const std::string& aInstance,
                           std::optional<double> aPerSecond, Millis aBegunAt,
                           Millis aNow) {
  const auto it = mLimits.find(aInstance);
  if (!aPerSecond.has_value()) {
    // An answer that was on its way when the limit was named says nothing.
    const bool ends = it != mLimits.end() && aBegunAt > it->second.mNamedAt;
    if (ends) {
      mLimits.erase(it);
    }
    return ends;
  }
  const bool isNews =
      it == mLimits.end() || it->second.mPerSecond != *aPerSecond;
  Limit& limit = mLimits[aInstance];
  limit.mPerSecond = *aPerSecond;
  limit.mNamedAt = aNow;
  return isNews;
}

std::optional<double> NamedLimits::Of(const std::string& aInstance) const {
  const auto it = mLimits.find(aInstance);
  return it == mLimits.end() ? std::nullopt
                             : std::optional(it->second.mPerSecond);
}

}  // namespace spindleweir
