#include "tests/platform/soak/soak_load_reduction.h"

#include <algorithm>
#include <iostream>

namespace spindleweir {

namespace {

constexpr std::int64_t kSecond = 1000000;
constexpr std::int64_t kLimitDuration = 9 * kSecond;
constexpr std::int64_t kRejectDuration = 2 * kSecond;
constexpr const char* kLimitText = "0.5";
constexpr const char* kBackoffText = "2";
constexpr std::int64_t kBackoff = 2 * kSecond;
/// Bounds that the product allows. Limit: at most kMaxInWindow requests in any
/// kWindow, from kLimitSpreadTime after the start on, and per router from
/// kReactionTime after its first notice on. Back-off: at most kMaxInBackoff
/// requests of a router, from kReactionTime after the rejection on.
constexpr std::int64_t kLimitSpreadTime = 3 * kSecond;
constexpr std::int64_t kWindow = 4 * kSecond;
constexpr int kMaxInWindow = 8;
constexpr std::int64_t kReactionTime = kSecond / 2;
constexpr int kMaxInBackoff = 2;

bool HasFault(const std::vector<SoakFault>& aFaults, const std::string& aRouter,
              std::int64_t aFrom, std::int64_t aTo) {
  return std::any_of(aFaults.begin(), aFaults.end(),
                     [&](const SoakFault& aFault) {
                       return aFault.mName == aRouter && aFault.mAt >= aFrom &&
                              aFault.mAt <= aTo;
                     });
}

}  // namespace

SoakLoadReduction::SoakLoadReduction(ReductionKind aKind, std::string aInstance,
                                     std::int64_t aNow)
    : mKind(aKind), mInstance(std::move(aInstance)), mFrom(aNow) {}

bool SoakLoadReduction::IsActive(std::int64_t aNow) const {
  const std::int64_t duration = mKind == ReductionKind::kLimit
                                    ? kLimitDuration
                                    : kRejectDuration + kBackoff;
  return mEndedAt == 0 && aNow < mFrom + duration;
}

bool SoakLoadReduction::Rejects(std::int64_t aNow) const {
  return mKind == ReductionKind::kBackoff && IsActive(aNow) &&
         aNow < mFrom + kRejectDuration;
}

HttpHeaders SoakLoadReduction::OnRequest(const std::string& aRouter,
                                         std::int64_t aNow) {
  mArrivals.push_back({aNow, aRouter});
  if (mKind == ReductionKind::kLimit) {
    mNotifiedAt.try_emplace(aRouter, aNow);
    return {{"Server-Limit", kLimitText}};
  }
  if (Rejects(aNow)) {
    return {{"Spindleweir-Not-Executed", "1"}, {"Retry-After", kBackoffText}};
  }
  return {};
}

int SoakLoadReduction::CountViolations(
    const std::vector<SoakFault>& aFaults) const {
  return mKind == ReductionKind::kLimit ? CountLimitViolations(aFaults)
                                        : CountBackoffViolations(aFaults);
}

int SoakLoadReduction::CountLimitViolations(
    const std::vector<SoakFault>& aFaults) const {
  std::vector<std::int64_t> counted;
  for (const Arrival& arrival : mArrivals) {
    const std::int64_t notified = mNotifiedAt.at(arrival.mRouter);
    if (arrival.mAt >= mFrom + kLimitSpreadTime &&
        arrival.mAt >= notified + kReactionTime &&
        !HasFault(aFaults, arrival.mRouter, notified - kSecond, arrival.mAt)) {
      counted.push_back(arrival.mAt);
    }
  }
  int maxCount = 0;
  for (auto first = counted.begin(); first != counted.end(); first++) {
    const auto last = std::upper_bound(first, counted.end(), *first + kWindow);
    maxCount = std::max(maxCount, static_cast<int>(last - first));
  }
  if (maxCount <= kMaxInWindow) {
    return 0;
  }
  std::cout << "BROKEN: " << mInstance << " advertised a limit of "
            << kLimitText << " requests/s and received " << maxCount
            << " requests in 4 s\n";
  return 1;
}

int SoakLoadReduction::CountBackoffViolations(
    const std::vector<SoakFault>& aFaults) const {
  int violations = 0;
  for (const Arrival& rejected : mArrivals) {
    if (rejected.mAt >= mFrom + kRejectDuration) {
      break;
    }
    const std::int64_t end = rejected.mAt + kBackoff;
    const auto maxCount = std::count_if(
        mArrivals.begin(), mArrivals.end(), [&](const Arrival& aArrival) {
          return aArrival.mRouter == rejected.mRouter &&
                 aArrival.mAt > rejected.mAt + kReactionTime &&
                 aArrival.mAt < end;
        });
    if (maxCount > kMaxInBackoff &&
        !HasFault(aFaults, rejected.mRouter, rejected.mAt - kSecond, end)) {
      std::cout << "BROKEN: " << mInstance << " asked " << rejected.mRouter
                << " for a back-off and received " << maxCount << " requests\n";
      violations++;
    }
  }
  return violations;
}

}  // namespace spindleweir
