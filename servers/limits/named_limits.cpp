#include "spindleweir/servers/limits/named_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace spindleweir {

namespace {

constexpr double kMillisPerSecond = 1000;
/// Limits and demands travel as whole numbers, in thousandths.
constexpr double kThousandths = 1000;

}  // namespace

NamedLimits::NamedLimits(NamedLimitsOptions aOptions)
    : mOptions(std::move(aOptions)) {}

NamedLimits::Limit& NamedLimits::Know(const std::string& aInstance,
                                      double aPerSecond, Millis aNow) {
  const auto [it, isNew] = mLimits.try_emplace(aInstance);
  Limit& limit = it->second;
  limit.mPerSecond = aPerSecond;
  if (isNew) {
    limit.mKnownAt = aNow;
    limit.mCountedAt = aNow;
    // Routers that hear of it at the same moment do not send at the same one.
    limit.mPart = mOptions.mRandom();
  }
  return limit;
}

bool NamedLimits::Answered(const std::string& aInstance,
                           std::optional<double> aPerSecond, Millis aBegunAt,
                           Millis aNow) {
  const auto it = mLimits.find(aInstance);
  if (aPerSecond.has_value()) {
    const bool isNews =
        it == mLimits.end() || it->second.mPerSecond != *aPerSecond;
    Know(aInstance, *aPerSecond, aNow).mNamedAt = aNow;
    mEndedAt.erase(aInstance);
    return isNews;
  }
  // An answer that was on its way when the limit was named says nothing.
  if (it == mLimits.end() ||
      aBegunAt <= std::max(it->second.mNamedAt, it->second.mKnownAt)) {
    return false;
  }
  Forget(aInstance);
  mEndedAt[aInstance] = aNow;
  return true;
}

void NamedLimits::Forget(const std::string& aInstance) {
  mLimits.erase(aInstance);
  mEndedAt.erase(aInstance);
}

void NamedLimits::Keep(
    const std::function<bool(const std::string&)>& aIsKnown) {
  const auto isGone = [&aIsKnown](const auto& aItem) {
    return !aIsKnown(aItem.first);
  };
  std::erase_if(mLimits, isGone);
  std::erase_if(mEndedAt, isGone);
}

void NamedLimits::TakeNews(const LoadShares& aOthers, Millis aNow) {
  std::erase_if(mEndedAt, [&](const auto& aItem) {
    return aNow - aItem.second > 2 * mOptions.mNewsAge;
  });
  for (const auto& [instance, share] : aOthers) {
    const auto known = mLimits.find(instance);
    const bool namedHere =
        known != mLimits.end() && known->second.mNamedAt >= 0;
    const bool namedLately =
        namedHere && aNow - known->second.mNamedAt <= 2 * mOptions.mNewsAge;
    if (share.mLimitEndReporters > 0 && !namedLately) {
      mLimits.erase(instance);
      continue;
    }
    // Those who were told before it ended tell of it for a while.
    if (share.mLimitReporters > 0 && !namedHere &&
        !mEndedAt.contains(instance)) {
      Know(instance,
           static_cast<double>(share.mLimitThousandths) / kThousandths /
               static_cast<double>(share.mLimitReporters),
           aNow);
    }
  }
  std::erase_if(mLimits, [&aOthers](const auto& aItem) {
    const auto told = aOthers.find(aItem.first);
    const bool isTold =
        told != aOthers.end() && told->second.mLimitReporters > 0;
    return aItem.second.mNamedAt < 0 && !isTold;
  });
}

void NamedLimits::Tell(LoadShares& aLoads, Millis aNow) const {
  for (const auto& [instance, limit] : mLimits) {
    LoadShare& share = aLoads[instance];
    share.mInstance = instance;
    share.mDemandThousandths = std::max<std::int64_t>(
        1, std::llround(mOptions.mDemandOf(instance).mOwn * kThousandths));
    if (limit.mNamedAt >= 0) {
      share.mLimitReporters = 1;
      share.mLimitThousandths = std::llround(limit.mPerSecond * kThousandths);
    }
  }
  for (const auto& [instance, endedAt] : mEndedAt) {
    if (aNow - endedAt <= mOptions.mNewsAge) {
      aLoads[instance].mInstance = instance;
      aLoads[instance].mLimitEndReporters = 1;
    }
  }
}

std::optional<double> NamedLimits::Of(const std::string& aInstance) const {
  const auto it = mLimits.find(aInstance);
  return it == mLimits.end() ? std::nullopt
                             : std::optional(it->second.mPerSecond);
}

double NamedLimits::ShareOf(const std::string& aInstance, const Limit& aLimit,
                            Millis aNow) const {
  const LimitDemand demand = mOptions.mDemandOf(aInstance);
  const bool known = demand.mOthersKnown && demand.mOwn > 0 &&
                     aNow - aLimit.mKnownAt >= mOptions.mNewsTakes;
  return known ? demand.mOwn / (demand.mOwn + demand.mOthers)
               : 1.0 / std::max(1, demand.mRouters);
}

Millis NamedLimits::HoldsFor(const Limit& aLimit) const {
  const double perSecond = std::max(mOptions.mLeast, aLimit.mPerSecond);
  return mOptions.mCreditHolds +
         std::llround(mOptions.mKeptBesides / perSecond * kMillisPerSecond);
}

void NamedLimits::Count(const std::string& aInstance, Limit& aLimit,
                        Millis aNow) const {
  const double perMilli = std::max(mOptions.mLeast, aLimit.mPerSecond) *
                          mOptions.mUsed * ShareOf(aInstance, aLimit, aNow) /
                          kMillisPerSecond;
  aLimit.mPart += perMilli * static_cast<double>(aNow - aLimit.mCountedAt);
  aLimit.mCountedAt = aNow;
  if (aLimit.mPart >= 1) {
    const double whole = std::floor(aLimit.mPart);
    aLimit.mPart -= whole;
    aLimit.mCreditsAt = aNow - std::llround(aLimit.mPart / perMilli);
    const double most =
        std::max(1.0, perMilli * static_cast<double>(mOptions.mCreditHolds));
    aLimit.mCredits = static_cast<int>(std::min(most, aLimit.mCredits + whole));
  }
  if (aNow - aLimit.mCreditsAt > HoldsFor(aLimit)) {
    aLimit.mCredits = 0;
  }
}

std::set<std::string> NamedLimits::Held(Millis aNow) {
  std::set<std::string> held;
  for (auto& [instance, limit] : mLimits) {
    Count(instance, limit, aNow);
    if (limit.mCredits == 0) {
      held.insert(instance);
    }
  }
  return held;
}

void NamedLimits::Sent(const std::string& aInstance) {
  const auto it = mLimits.find(aInstance);
  if (it != mLimits.end() && it->second.mCredits > 0) {
    it->second.mCredits--;
  }
}

}  // namespace spindleweir
