#include "spindleweir/servers/limits/crash_watch.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace spindleweir {

namespace {

/// Only the attempts that began last are recorded of those that one router lost
/// with a crash. Requests that crash an engine do so within 0.3 s of their
/// start there, while 8 to 116 streams are lost with each crash.
constexpr std::size_t kMaxSuspects = 8;
/// If no probe has succeeded or failed after this time, the process itself got
/// no processor time, and the lost attempts prove nothing.
constexpr Millis kPendingProbeTimeout = 3000;
/// Completed requests that are stored to excuse those that other processes bar.
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
    // A single crash never bars a request and soon expires. Excusing it would
    // add a report for each request that a crash has cut off.
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
