#include "spindleweir/servers/limits/crash_watch.h"

#include <algorithm>
#include <string_view>
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
/// Within this time the first probe has ended, also by way of another router.
constexpr Millis kProbeTime = 300;
/// Completed requests that are stored to excuse those that other processes bar.
constexpr std::size_t kMaxCompleted = 1024;
/// Parts of prompts that one router suspects after a crash.
constexpr std::size_t kMaxSuspectedParts = 128;

/// When the attempt began that was the last one with each part.
std::map<std::string_view, Millis> LatestStarts(
    std::span<const LostAttempt> aAttempts) {
  std::map<std::string_view, Millis> starts;
  for (const LostAttempt& attempt : aAttempts) {
    for (const std::string& part : attempt.mParts) {
      Millis& start = starts[part];
      start = std::max(start, attempt.mStartedAt);
    }
  }
  return starts;
}

}  // namespace

CrashWatch::CrashWatch(std::string aObserver, CrashLedgerOptions aOptions)
    : mLedger(aOptions),
      mParts(mLedger, std::move(aObserver),
             [this](const std::string& aPart, Millis aNow) {
               return IsPending(aPart, aNow);
             }),
      mCompletedAt(kMaxCompleted) {}

bool CrashWatch::IsBarred(const std::string& aDigest,
                          std::span<const std::string> aParts) const {
  return mLedger.IsBarred(aDigest) &&
         !mLedger.IsExplainedByOthers(aDigest, aParts);
}

bool CrashWatch::IsPending(const std::string& aPart, Millis aNow) const {
  return std::any_of(mPendingProbes.begin(), mPendingProbes.end(),
                     [&](const auto& aItem) {
                       const PendingProbe& pending = aItem.second;
                       return aNow - pending.mSince < kProbeTime &&
                              pending.mParts.contains(aPart);
                     });
}

std::vector<std::string> CrashWatch::SuspectedParts(
    std::span<const LostAttempt> aAttempts) const {
  std::vector<std::string> parts;
  std::set<std::string_view> seen;
  for (const LostAttempt& attempt : aAttempts) {
    for (const std::string& part : attempt.mParts) {
      if (seen.insert(part).second) {
        parts.push_back(part);
      }
    }
  }
  std::stable_partition(
      parts.begin(), parts.end(),
      [this](const std::string& aPart) { return !mParts.IsProven(aPart); });
  parts.resize(std::min(parts.size(), kMaxSuspectedParts));
  return parts;
}

void CrashWatch::RecordPartCrash(const std::string& aPart,
                                 const std::string& aIncarnation,
                                 Millis aStartedAt, Millis aCrashedAt,
                                 Millis aNow) {
  mLedger.Record(
      {.mSubject = aPart,
       .mCrashes = {{.mIncarnation = aIncarnation,
                     .mAgo = aNow - aCrashedAt,
                     .mRan = std::max<Millis>(0, aCrashedAt - aStartedAt),
                     .mObserver = mParts.Observer()}}},
      aNow);
  mParts.OnCrashRecorded(aPart, aNow);
}

void CrashWatch::OnAttemptLost(LostAttempt aAttempt, Millis aNow) {
  PendingProbe& pending = mPendingProbes[aAttempt.mInstance];
  if (pending.mAttempts.empty()) {
    pending.mSince = aNow;
  }
  pending.mParts.insert(aAttempt.mParts.begin(), aAttempt.mParts.end());
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

CrashSuspects CrashWatch::OnUpstreamCrashed(const std::string& aInstance,
                                            Millis aNow) {
  const auto it = mPendingProbes.find(aInstance);
  if (it == mPendingProbes.end()) {
    return {};
  }
  std::vector<LostAttempt> attempts = std::move(it->second.mAttempts);
  const Millis crashedAt = it->second.mSince;
  mPendingProbes.erase(it);
  std::sort(
      attempts.begin(), attempts.end(),
      [](const LostAttempt& aLeft, const LostAttempt& aRight) {
        return std::make_tuple(aLeft.mDeliveredEvents, -aLeft.mStartedAt) <
               std::make_tuple(aRight.mDeliveredEvents, -aRight.mStartedAt);
      });
  CrashSuspects suspects{.mParts = SuspectedParts(attempts)};
  const std::map<std::string_view, Millis> starts = LatestStarts(attempts);
  const std::string incarnation =
      IncarnationName(aInstance, attempts.front().mStart);
  for (const std::string& part : suspects.mParts) {
    RecordPartCrash(part, incarnation, starts.at(part), crashedAt, aNow);
  }
  attempts.resize(std::min(attempts.size(), kMaxSuspects));
  for (const LostAttempt& attempt : attempts) {
    mLedger.RecordCrash(attempt.mRequestDigest,
                        IncarnationName(attempt.mInstance, attempt.mStart),
                        aNow);
    suspects.mRequests.push_back(attempt.mRequestDigest);
  }
  return suspects;
}

void CrashWatch::OnRequestCompleted(const std::string& aDigest, Millis aNow) {
  if (mLedger.UnexcusedCrashes(aDigest) > 1) {
    // A single crash never bars a request and soon expires. Excusing it would
    // add a report for each request that a crash has cut off.
    mLedger.Excuse(aDigest, aNow, aNow);
  }
  mCompletedAt.Record(aDigest, aNow);
}

void CrashWatch::ApplyPeerRecord(const CrashRecord& aRecord, Millis aNow) {
  mLedger.Merge(aRecord, aNow);
  const std::optional<Millis> completed = mCompletedAt.Find(aRecord.mSubject);
  if (completed.has_value()) {
    mLedger.Excuse(aRecord.mSubject, *completed, aNow);
  }
  mParts.OnPeerRecord(aRecord.mSubject, aNow);
}

void CrashWatch::RemoveExpired(Millis aNow) {
  mLedger.RemoveExpired(aNow);
}

}  // namespace spindleweir
