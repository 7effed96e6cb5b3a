#include "daemons/control/retry_service.h"

#include <algorithm>
#include <utility>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// Time until a service that is new in the configuration has a pool.
constexpr Millis kStepInterval = 50;
/// Time until the next write after one that failed.
constexpr Millis kWriteRetryInterval = 2000;
/// Stands for all services that have no number on disk yet, so that a service
/// can be granted retries as soon as it is in the configuration.
constexpr const char* kNewServices = "";
constexpr double kThousandths = 1000;

}  // namespace

RetryService::RetryService(ControlContext& aContext, RetryServiceHooks aHooks)
    : mContext(aContext),
      mHooks(std::move(aHooks)),
      mStore(aContext.mOptions.mData + "/retries",
             aContext.ReplaceInBackground()),
      mInherited(mStore.Load()),
      mStartedAt(SteadyNow()),
      mShare({.mStartedAt = mStartedAt,
              .mPrevious = PreviousStart(),
              .mPreviousVoters =
                  mInherited.value_or(RetryStore::Content()).mVoters,
              .mGrantRetention =
                  RetryGrantRetention(aContext.mOptions.mRetries)}) {
  mRecordedVoters = mInherited.value_or(RetryStore::Content()).mVoters;
  for (const auto& [service, retries] : InheritedNumbers()) {
    PoolOf(service);
  }
  PoolOf(kNewServices);
  Step();
  mStepTimer = mContext.mLoop.Every(kStepInterval, [this] { Step(); });
  mContext.mDispatcher.On(
      rpc_method::kRetries, [this](const Json::Value& aMessage) {
        return ToJson(Answer(FromJson<RetryCreditRequest>(aMessage)));
      });
}

PreviousGrants RetryService::PreviousStart() const {
  if (mContext.mOptions.mIsNewDeployment) {
    return PreviousGrants::kNone;
  }
  return mInherited.has_value() ? PreviousGrants::kRecorded
                                : PreviousGrants::kUnknown;
}

const RetryStore::Numbers& RetryService::InheritedNumbers() const {
  static const RetryStore::Numbers none;
  return mInherited.has_value() ? mInherited->mNumbers : none;
}

double RetryService::Share() {
  const Millis now = SteadyNow();
  mShare.Update(mHooks.mVoters(), now);
  return mShare.Value(now);
}

RetryPool& RetryService::PoolOf(const std::string& aService) {
  const auto it = mPools.find(aService);
  if (it != mPools.end()) {
    return it->second;
  }
  const RetryStore::Numbers& stored = InheritedNumbers();
  const bool hasOwn = stored.contains(aService);
  const auto known = stored.find(hasOwn ? aService : kNewServices);
  const int inherited = known == stored.end() ? 0 : known->second;
  RetryPool pool(mContext.mOptions.mRetries, inherited, mStartedAt);
  const auto common = mPools.find(kNewServices);
  if (!hasOwn && common != mPools.end()) {
    pool.UseRecord(common->second.Recorded());
  }
  return mPools.emplace(aService, pool).first->second;
}

void RetryService::Step() {
  for (const std::string& service : mHooks.mServices()) {
    PoolOf(service);
  }
  RecordIfDue();
}

void RetryService::RecordIfDue() {
  const double share = Share();
  const Millis now = SteadyNow();
  const int voters = mShare.RecentVoters();
  const bool isDue =
      voters != mRecordedVoters ||
      std::any_of(mPools.begin(), mPools.end(), [share, now](auto& aItem) {
        return aItem.second.NeedsRecord(share, now);
      });
  const bool isDelayed =
      mWriteFailedAt >= 0 && now - mWriteFailedAt < kWriteRetryInterval;
  if (!isDue || isDelayed || mIsRecording) {
    return;
  }
  RetryStore::Content content{.mNumbers = {}, .mVoters = voters};
  for (auto& [service, pool] : mPools) {
    content.mNumbers[service] = pool.BeginRecord(share, now);
  }
  mIsRecording = true;
  mRecordedVoters = voters;
  mStore.Save(content, [this, content](bool aIsDurable) {
    mIsRecording = false;
    if (!aIsDurable) {
      mRecordedVoters = 0;
    }
    for (const auto& [service, number] : content.mNumbers) {
      PoolOf(service).EndRecord(aIsDurable);
    }
    mWriteFailedAt = aIsDurable ? -1 : SteadyNow();
    RecordIfDue();
  });
}

RetryCreditGrant RetryService::Answer(const RetryCreditRequest& aRequest) {
  const std::vector<std::string> services = mHooks.mServices();
  const bool isKnown = std::find(services.begin(), services.end(),
                                 aRequest.mService) != services.end();
  if (!isKnown) {
    return {};
  }
  RetryPool& pool = PoolOf(aRequest.mService);
  const double share = Share();
  const Millis now = SteadyNow();
  const RetryCreditGrant grant{pool.Grant(aRequest.mWanted, share, now)};
  RecordIfDue();
  mContext.mCounters.Add("retries_granted", {}, grant.mGranted);
  LogLine(LogLevel::kInfo, "retries_granted")
      .Add("router", aRequest.mProcess)
      .Add("service", aRequest.mService)
      .Add("wanted", aRequest.mWanted)
      .Add("granted", grant.mGranted)
      .Add("outstanding", pool.Granted(now))
      .Add("left", pool.Available(share, now))
      .Add("share", share);
  return grant;
}

void RetryService::RefreshGauges() {
  const Millis now = SteadyNow();
  const double share = Share();
  std::int64_t outstanding = 0;
  double left = 0;
  for (auto& [service, pool] : mPools) {
    if (service == kNewServices) {
      continue;
    }
    outstanding += pool.Granted(now);
    left += std::max(0.0, pool.Available(share, now));
  }
  Counters& counters = mContext.mCounters;
  counters.Set("retry_share_thousandths",
               static_cast<std::int64_t>(share * kThousandths));
  counters.Set("retries_outstanding", outstanding);
  counters.Set("retries_grantable", static_cast<std::int64_t>(left));
}

}  // namespace spindleweir
