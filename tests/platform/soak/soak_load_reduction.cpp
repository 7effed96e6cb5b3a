#include "tests/platform/soak/soak_load_reduction.h"

#include <algorithm>
#include <iostream>

namespace spindleweir {

namespace {

constexpr std::int64_t kSecond = 1000000;
constexpr std::int64_t kLimitLasts = 9 * kSecond;
constexpr std::int64_t kTurnsAwayFor = 2 * kSecond;
constexpr const char* kLimitText = "0.5";
constexpr const char* kRestText = "2";
constexpr std::int64_t kRest = 2 * kSecond;
/// What the users allow: of a limit, from so long after it was first named,
/// in any such window; of a rest, after so long.
constexpr std::int64_t kContact = 3 * kSecond;
constexpr std::int64_t kWindow = 4 * kSecond;
constexpr int kAllowedInWindow = 8;
constexpr std::int64_t kHeard = kSecond / 2;
constexpr int kAllowedInRest = 2;

bool Excused(const std::vector<SoakFault>& aFaults, const std::string& aRouter,
             std::int64_t aFrom, std::int64_t aTo) {
  return std::any_of(aFaults.begin(), aFaults.end(),
                     [&](const SoakFault& aFault) {
                       return aFault.mName == aRouter && aFault.mAt >= aFrom &&
                              aFault.mAt <= aTo;
                     });
}

}  // namespace

SoakNeed::SoakNeed(NeedKind aKind, std::string aInstance, std::int64_t aNow)
    : mKind(aKind), mInstance(std::move(aInstance)), mFrom(aNow) {}

bool SoakNeed::Asks(std::int64_t aNow) const {
  const std::int64_t lasts =
      mKind == NeedKind::kLimit ? kLimitLasts : kTurnsAwayFor + kRest;
  return mEndedAt == 0 && aNow < mFrom + lasts;
}

bool SoakNeed::TurnsAway(std::int64_t aNow) const {
  return mKind == NeedKind::kRest && Asks(aNow) && aNow < mFrom + kTurnsAwayFor;
}

HttpHeaders SoakNeed::Arrived(const std::string& aRouter, std::int64_t aNow) {
  mArrivals.push_back({aNow, aRouter});
  if (mKind == NeedKind::kLimit) {
    mToldAt.try_emplace(aRouter, aNow);
    return {{"Server-Limit", kLimitText}};
  }
  if (TurnsAway(aNow)) {
    return {{"Spindleweir-Not-Executed", "1"}, {"Retry-After", kRestText}};
  }
  return {};
}

int SoakNeed::Judge(const std::vector<SoakFault>& aFaults) const {
  return mKind == NeedKind::kLimit ? JudgeLimit(aFaults) : JudgeRest(aFaults);
}

int SoakNeed::JudgeLimit(const std::vector<SoakFault>& aFaults) const {
  std::vector<std::int64_t> counted;
  for (const Arrival& arrival : mArrivals) {
    const std::int64_t told = mToldAt.at(arrival.mRouter);
    if (arrival.mAt >= mFrom + kContact && arrival.mAt >= told + kHeard &&
        !Excused(aFaults, arrival.mRouter, told - kSecond, arrival.mAt)) {
      counted.push_back(arrival.mAt);
    }
  }
  int most = 0;
  for (auto first = counted.begin(); first != counted.end(); first++) {
    const auto last = std::upper_bound(first, counted.end(), *first + kWindow);
    most = std::max(most, static_cast<int>(last - first));
  }
  if (most <= kAllowedInWindow) {
    return 0;
  }
  std::cout << "BROKEN: " << mInstance << " named a limit of " << kLimitText
            << " a second and got " << most << " in 4 s\n";
  return 1;
}

int SoakNeed::JudgeRest(const std::vector<SoakFault>& aFaults) const {
  int broken = 0;
  for (const Arrival& asked : mArrivals) {
    if (asked.mAt >= mFrom + kTurnsAwayFor) {
      break;
    }
    const std::int64_t end = asked.mAt + kRest;
    const auto most = std::count_if(
        mArrivals.begin(), mArrivals.end(), [&](const Arrival& aArrival) {
          return aArrival.mRouter == asked.mRouter &&
                 aArrival.mAt > asked.mAt + kHeard && aArrival.mAt < end;
        });
    if (most > kAllowedInRest &&
        !Excused(aFaults, asked.mRouter, asked.mAt - kSecond, end)) {
      std::cout << "BROKEN: " << mInstance << " asked " << asked.mRouter
                << " for rest and got " << most << " requests\n";
      broken++;
    }
  }
  return broken;
}

}  // namespace spindleweir
