#include "spindleweir/servers/limits/recent_limits.h"

#include <algorithm>

namespace spindleweir {

bool RecentLimits::IsForgotten(const Limit& aLimit, Millis aNow) const {
  const Millis retention =
      aLimit.mHasEnded ? mOptions.mEndRetention : mOptions.mRetention;
  return aNow - aLimit.mReportedAt > retention;
}

void RecentLimits::Remember(const LoadShare& aReport, Millis aNow) {
  if (aReport.mLimitEndReporters > 0) {
    mLimits[aReport.mInstance] = {.mReportedAt = aNow, .mHasEnded = true};
    return;
  }
  if (aReport.mLimitReporters == 0) {
    return;
  }
  Limit& limit = mLimits[aReport.mInstance];
  if (!limit.mHasEnded) {
    limit = {
        .mThousandths = aReport.mLimitThousandths / aReport.mLimitReporters,
        .mReportedAt = aNow};
  }
}

std::size_t RecentLimits::Count() const {
  return static_cast<std::size_t>(
      std::count_if(mLimits.begin(), mLimits.end(),
                    [](const auto& aItem) { return !aItem.second.mHasEnded; }));
}

RecentLimits::Thousandths RecentLimits::InForce() const {
  Thousandths inForce;
  for (const auto& [instance, limit] : mLimits) {
    if (!limit.mHasEnded) {
      inForce[instance] = limit.mThousandths;
    }
  }
  return inForce;
}

void RecentLimits::Restore(const Thousandths& aStored, Millis aNow) {
  for (const auto& [instance, thousandths] : aStored) {
    mLimits.try_emplace(
        instance, Limit{.mThousandths = thousandths, .mReportedAt = aNow});
  }
}

void RecentLimits::Apply(LoadShares& aReports, Millis aNow) {
  std::erase_if(mLimits, [this, aNow](const auto& aItem) {
    return IsForgotten(aItem.second, aNow);
  });
  for (const auto& [instance, report] : aReports) {
    Remember(report, aNow);
  }
  for (const auto& [instance, limit] : mLimits) {
    const auto reported = aReports.find(instance);
    const bool isReported =
        reported != aReports.end() && reported->second.mLimitReporters > 0;
    if (limit.mHasEnded || isReported) {
      continue;
    }
    LoadShare& share = aReports[instance];
    share.mInstance = instance;
    share.mLimitReporters = 1;
    share.mLimitThousandths = limit.mThousandths;
  }
}

}  // namespace spindleweir
