#include "spindleweir/servers/limits/crash_watch.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace spindleweir {

namespace {

/// Of the attempts that one router lost with one crash, those that began last
/// are told. Requests that crashed engines did so within 0.3 s of their begin
/// there, while 8 to 116 streams were lost with each.
constexpr std::size_t kMostSuspects = 8;
/// Nobody could look in this time: the process had no processor.
constexpr Millis kUnclearFor = 3000;
/// What completed is remembered to excuse a request that others bar.
constexpr std::size_t kMostCompleted = 1024;

}  // namespace

void CrashWatch::Lost(LostAttempt aAttempt, Millis aNow) {
  Unclear& unclear = mUnclear[aAttempt.mInstance];
  if (unclear.mAttempts.empty()) {
    unclear.mSince = aNow;
  }
  unclear.mAttempts.push_back(std::move(aAttempt));
}

std::set<std::string> CrashWatch::Unsettled(Millis aNow) {
  std::erase_if(mUnclear, [aNow](const auto& aItem) {
    return aNow - aItem.second.mSince >= kUnclearFor;
  });
  std::set<std::string> instances;
  for (const auto& [instance, unclear] : mUnclear) {
    instances.insert(instance);
  }
  return instances;
}

void CrashWatch::StillThere(const std::string& aInstance) {
  mUnclear.erase(aInstance);
}

std::vector<std::string> CrashWatch::Ended(const std::string& aInstance,
                                           Millis aNow) {
  const auto it = mUnclear.find(aInstance);
  if (it == mUnclear.end()) {
    return {};
  }
  std::vector<LostAttempt> attempts = std::move(it->second.mAttempts);
  mUnclear.erase(it);
  std::sort(attempts.begin(), attempts.end(),
            [](const LostAttempt& aLeft, const LostAttempt& aRight) {
              return std::make_tuple(aLeft.mHadEvents, -aLeft.mBegunAt) <
                     std::make_tuple(aRight.mHadEvents, -aRight.mBegunAt);
            });
  attempts.resize(std::min(attempts.size(), kMostSuspects));
  std::vector<std::string> contents;
  for (const LostAttempt& attempt : attempts) {
    mLedger.Crashed(attempt.mContent,
                    IncarnationName(attempt.mInstance, attempt.mStart), aNow);
    contents.push_back(attempt.mContent);
  }
  return contents;
}

void CrashWatch::Completed(const std::string& aContent, Millis aNow) {
  if (mLedger.CrashesOf(aContent) > 1) {
    // One crash alone never bars, and is soon forgotten; word of it would be
    // told of all that a crash cut off.
    mLedger.Excuse(aContent, aNow, aNow);
  }
  const auto [it, first] = mCompletedAt.insert_or_assign(aContent, aNow);
  if (!first) {
    return;
  }
  mCompletedOrder.push_back(aContent);
  if (mCompletedOrder.size() > kMostCompleted) {
    mCompletedAt.erase(mCompletedOrder.front());
    mCompletedOrder.pop_front();
  }
}

void CrashWatch::Take(const CrashRecord& aRecord, Millis aNow) {
  mLedger.Merge(aRecord, aNow);
  const auto it = mCompletedAt.find(aRecord.mContent);
  if (it != mCompletedAt.end()) {
    mLedger.Excuse(aRecord.mContent, it->second, aNow);
  }
}

void CrashWatch::Forget(Millis aNow) {
  mLedger.Forget(aNow);
}

}  // namespace spindleweir
