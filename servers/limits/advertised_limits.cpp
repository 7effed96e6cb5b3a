#include "spindleweir/servers/limits/advertised_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spindleweir {

namespace {

constexpr double kMillisPerSecond = 1000;
/// Limits and demands are reported as whole numbers, in thousandths.
constexpr double kThousandths = 1000;

}  // namespace

AdvertisedLimits::AdvertisedLimits(AdvertisedLimitsOptions aOptions)
    : mOptions(std::move(aOptions)) {}

AdvertisedLimits::Limit& AdvertisedLimits::SetLimit(
    const std::string& aInstance, double aPerSecond, Millis aNow) {
  const auto [it, isNew] = mLimits.try_emplace(aInstance);
  Limit& limit = it->second;
  limit.mPerSecond = aPerSecond;
  if (isNew) {
    limit.mFirstKnownAt = aNow;
    limit.mAccruedAt = aNow;
    // A random start keeps routers that learn of the limit at the same moment
    // from sending at the same moment.
    limit.mFraction = mOptions.mRandom();
  }
  return limit;
}

bool AdvertisedLimits::OnAnswer(const std::string& aInstance,
                                std::optional<double> aPerSecond,
                                Millis aBegunAt, Millis aNow) {
  const auto it = mLimits.find(aInstance);
  if (aPerSecond.has_value()) {
    const bool changed =
        it == mLimits.end() || it->second.mPerSecond != *aPerSecond;
    SetLimit(aInstance, *aPerSecond, aNow).mAdvertisedAt = aNow;
    mEndedAt.erase(aInstance);
    return changed;
  }
  // An answer to an attempt that began before the limit was known doesn't show
  // that the limit has ended.
  if (it == mLimits.end() || aBegunAt <= std::max(it->second.mAdvertisedAt,
                                                  it->second.mFirstKnownAt)) {
    return false;
  }
  Forget(aInstance);
  mEndedAt[aInstance] = aNow;
  return true;
}

void AdvertisedLimits::Forget(const std::string& aInstance) {
  mLimits.erase(aInstance);
  mEndedAt.erase(aInstance);
}

void AdvertisedLimits::RetainKnown(
    const std::function<bool(const std::string&)>& aIsKnown) {
  const auto isGone = [&aIsKnown](const auto& aItem) {
    return !aIsKnown(aItem.first);
  };
  std::erase_if(mLimits, isGone);
  std::erase_if(mEndedAt, isGone);
}

void AdvertisedLimits::ApplyPeerReports(const LoadShares& aPeers, Millis aNow) {
  std::erase_if(mEndedAt, [&](const auto& aItem) {
    return aNow - aItem.second > 2 * mOptions.mPeerReportAge;
  });
  for (const auto& [instance, share] : aPeers) {
    const auto known = mLimits.find(instance);
    const bool advertisedHere =
        known != mLimits.end() && known->second.mAdvertisedAt >= 0;
    const bool advertisedRecently =
        advertisedHere &&
        aNow - known->second.mAdvertisedAt <= 2 * mOptions.mPeerReportAge;
    if (share.mLimitEndReporters > 0 && !advertisedRecently) {
      mLimits.erase(instance);
      continue;
    }
    // Peers go on reporting a limit for a while after it has ended, so a limit
    // that was seen to end here isn't taken from their reports.
    if (share.mLimitReporters > 0 && !advertisedHere &&
        !mEndedAt.contains(instance)) {
      SetLimit(instance,
               static_cast<double>(share.mLimitThousandths) / kThousandths /
                   static_cast<double>(share.mLimitReporters),
               aNow);
    }
  }
  std::erase_if(mLimits, [&aPeers](const auto& aItem) {
    const auto reported = aPeers.find(aItem.first);
    const bool isReported =
        reported != aPeers.end() && reported->second.mLimitReporters > 0;
    return aItem.second.mAdvertisedAt < 0 && !isReported;
  });
}

void AdvertisedLimits::AddReport(LoadShares& aLoads, Millis aNow) const {
  for (const auto& [instance, limit] : mLimits) {
    LoadShare& share = aLoads[instance];
    share.mInstance = instance;
    share.mDemandThousandths = std::max<std::int64_t>(
        1, std::llround(mOptions.mDemandOf(instance).mLocal * kThousandths));
    if (limit.mAdvertisedAt >= 0) {
      share.mLimitReporters = 1;
      share.mLimitThousandths = std::llround(limit.mPerSecond * kThousandths);
    }
  }
  for (const auto& [instance, endedAt] : mEndedAt) {
    if (aNow - endedAt <= mOptions.mPeerReportAge) {
      aLoads[instance].mInstance = instance;
      aLoads[instance].mLimitEndReporters = 1;
    }
  }
}

std::optional<double> AdvertisedLimits::LimitOf(
    const std::string& aInstance) const {
  const auto it = mLimits.find(aInstance);
  return it == mLimits.end() ? std::nullopt
                             : std::optional(it->second.mPerSecond);
}

double AdvertisedLimits::ShareOf(const std::string& aInstance,
                                 const Limit& aLimit, Millis aNow) const {
  const LimitDemand demand = mOptions.mDemandOf(aInstance);
  const bool known = demand.mPeersKnown && demand.mLocal > 0 &&
                     aNow - aLimit.mFirstKnownAt >= mOptions.mPeerReportDelay;
  return known ? demand.mLocal / (demand.mLocal + demand.mPeers)
               : 1.0 / std::max(1, demand.mRouters);
}

Millis AdvertisedLimits::CreditRetention(const Limit& aLimit) const {
  const double perSecond = std::max(mOptions.mMinPerSecond, aLimit.mPerSecond);
  return mOptions.mCreditRetention +
         std::llround(mOptions.mExtraCredits / perSecond * kMillisPerSecond);
}

void AdvertisedLimits::AccrueCredits(const std::string& aInstance,
                                     Limit& aLimit, Millis aNow) const {
  const double perMilli = std::max(mOptions.mMinPerSecond, aLimit.mPerSecond) *
                          mOptions.mUtilization *
                          ShareOf(aInstance, aLimit, aNow) / kMillisPerSecond;
  aLimit.mFraction += perMilli * static_cast<double>(aNow - aLimit.mAccruedAt);
  aLimit.mAccruedAt = aNow;
  if (aLimit.mFraction >= 1) {
    const double whole = std::floor(aLimit.mFraction);
    aLimit.mFraction -= whole;
    aLimit.mNewestCreditAt = aNow - std::llround(aLimit.mFraction / perMilli);
    const double maxCredits = std::max(
        1.0, perMilli * static_cast<double>(mOptions.mCreditRetention));
    aLimit.mCredits =
        static_cast<int>(std::min(maxCredits, aLimit.mCredits + whole));
  }
  if (aNow - aLimit.mNewestCreditAt > CreditRetention(aLimit)) {
    aLimit.mCredits = 0;
  }
}

std::set<std::string> AdvertisedLimits::HeldUpstreams(Millis aNow) {
  std::set<std::string> held;
  for (auto& [instance, limit] : mLimits) {
    AccrueCredits(instance, limit, aNow);
    if (limit.mCredits == 0) {
      held.insert(instance);
    }
  }
  return held;
}

bool AdvertisedLimits::OnRequestSent(const std::string& aInstance) {
  const auto it = mLimits.find(aInstance);
  if (it == mLimits.end()) {
    return false;
  }
  it->second.mCredits = std::max(0, it->second.mCredits - 1);
  return true;
}

int AdvertisedLimits::Credits() const {
  int credits = 0;
  for (const auto& [instance, limit] : mLimits) {
    credits += limit.mCredits;
  }
  return credits;
}

}  // namespace spindleweir
