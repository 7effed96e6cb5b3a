#include "spindleweir/servers/limits/crash_watch.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace spindleweir {

namespace {

/// Of the attempts that one router lost with one crash, those that began last
/// are told. Requests that crashed engines did so within 0.3 s of their begin
/// there, while 8 to 116 streams were lost with each.
constexpr std::size_t kMaxSuspects = 8;
/// Nobody could look in this time: the process had no processor.
constexpr Millis kPendingProbeTimeout = 3000;
/// What completed is remembered to excuse a request that others bar.
constexpr std::size_t kMaxCompleted = 1024;

}  // namespace

void CrashWatch::OnAttemptLost(LostAttempt aAttempt, Millis aNow) {
  PendingProbe& pending = mPendingProbes[aAttempt.mInstance];
  if (pending.mAttempts.empty()) {
    pending.mSince = aNow;
  }
  pending.mAttempts.push_back(std::move(aAttempt));
}

std::set<std::string> CrashWatch::InstancesToProbe(Millis aNow) {
  std::erase_if(mPendingProbes, [aNow](const auto& aItem) {
    return aNow - aItem.second.mSince >= kPendingProbeTimeout;
  });
  std::set<std::string> instances;
  for (const auto& [instance, pending] : mPendingProbes) {
    instances.insert(instance);
  }
  return instances;
}

void CrashWatch::OnUpstreamAlive(const std::string& aInstance) {
  mPendingProbes.erase(aInstance);
}

std::vector<std::string> CrashWatch::OnUpstreamCrashed(
    const std::string& aInstance, Millis aNow) {
  const auto it = mPendingProbes.find(aInstance);
  if (it == mPendingProbes.end()) {
    return {};
  }
  std::vector<LostAttempt> attempts = std::move(it->second.mAttempts);
  mPendingProbes.erase(it);
  std::sort(
      attempts.begin(), attempts.end(),
      [](const LostAttempt& aLeft, const LostAttempt& aRight) {
        return std::make_tuple(aLeft.mDeliveredEvents, -aLeft.mStartedAt) <
               std::make_tuple(aRight.mDeliveredEvents, -aRight.mStartedAt);
      });
  attempts.resize(std::min(attempts.size(), kMaxSuspects));
  std::vector<std::string> digests;
  for (const LostAttempt& attempt : attempts) {
    mLedger.RecordCrash(attempt.mRequestDigest,
                        IncarnationName(attempt.mInstance, attempt.mStart),
                        aNow);
    digests.push_back(attempt.mRequestDigest);
  }
  return digests;
}

void CrashWatch::OnRequestCompleted(const std::string& aDigest, Millis aNow) {
  if (mLedger.UnexcusedCrashes(aDigest) > 1) {
    // One crash alone never bars, and is soon forgotten; word of it would be
    // told of all that a crash cut off.
    mLedger.Excuse(aDigest, aNow, aNow);
  }
  const auto [it, first] = mCompletedAt.insert_or_assign(aDigest, aNow);
  if (!first) {
    return;
  }
  mCompletedOrder.push_back(aDigest);
  if (mCompletedOrder.size() > kMaxCompleted) {
    mCompletedAt.erase(mCompletedOrder.front());
    mCompletedOrder.pop_front();
  }
}

void CrashWatch::ApplyPeerRecord(const CrashRecord& aRecord, Millis aNow) {
  mLedger.Merge(aRecord, aNow);
  const auto it = mCompletedAt.find(aRecord.mRequestDigest);
  if (it != mCompletedAt.end()) {
    mLedger.Excuse(aRecord.mRequestDigest, it->second, aNow);
  }
}

void CrashWatch::RemoveExpired(Millis aNow) {
  mLedger.RemoveExpired(aNow);
}

}  // namespace spindleweir
