#include "daemons/router/router_context.h"

#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr std::size_t kMaxOutboxReceipts = 4096;
constexpr Millis kLimiterInterval = 20;
constexpr Millis kLeavingPruneInterval = 500;
/// Assumed link latencies, as the user documentation states them for zones;
/// links are not measured.
constexpr double kSameZoneMillis = 0.1;
constexpr double kOtherZoneMillis = 0.9;

}  // namespace

RouterContext::RouterContext(EventLoop& aLoop, RouterOptions aOptions)
    : mLoop(aLoop),
      mOptions(std::move(aOptions)),
      mIncarnation(WallNow()),
      mClient(aLoop, mOptions.mLinkFailureOf),
      mRpc(mClient, mOptions.mClusterKey),
      mEngines(mClient),
      mEntryVms(aLoop, mOptions.mEntryVms),
      mView({}),
      mLimiter(
          {.mMaximumInFlight = mOptions.mMaximumInFlight,
           .mMaximumQueue = static_cast<std::size_t>(mOptions.mMaximumQueue),
           .mStartedAt = SteadyNow()}),
      mRetryBudget({}),
      mOutbox(kMaxOutboxReceipts),
      mRandom(std::random_device{}()),
      mLeavingPruneTimer(
          aLoop.Every(kLeavingPruneInterval,
                      [this] { mLeaving.Retain(mView.Names(), SteadyNow()); })),
      mLimiterTimer(aLoop.Every(kLimiterInterval, [this] {
        DeliverOutcomes(mLimiter.Tick(SteadyNow()));
      })) {}

ConfigurationUpdateResult RouterContext::ApplyUpdate(
    const ConfigurationUpdate& aUpdate) {
  const ConfigurationUpdateResult result = mHistory.ApplyUpdate(aUpdate);
  if (result == ConfigurationUpdateResult::kFork ||
      result == ConfigurationUpdateResult::kHashMismatch) {
    const bool fork = result == ConfigurationUpdateResult::kFork;
    mCounters.Add(fork ? "configuration_forks" : "configuration_bad_hashes");
    LogLine(LogLevel::kError,
            fork ? "configuration_fork" : "configuration_bad_hash")
        .Add("version",
             static_cast<Json::Int64>(AcceptedConfiguration().mVersion));
  }
  if (result != ConfigurationUpdateResult::kApplied) {
    return result;
  }
  const Configuration& accepted = AcceptedConfiguration();
  mLeaving.SetDrained(accepted.mDrained);
  RefreshLeaving();
  ShareLimits(mSharingRouters);
  mCounters.Set("configuration_version", accepted.mVersion);
  LogLine(LogLevel::kInfo, "configuration_in_force")
      .Add("version", static_cast<Json::Int64>(accepted.mVersion))
      .Add("whole", aUpdate.mIsFull)
      .Add("hash", accepted.mHash);
  if (mOptions.mOnConfiguration) {
    mOptions.mOnConfiguration(accepted.mVersion);
  }
  return result;
}

void RouterContext::ShareLimits(std::size_t aRouters) {
  mSharingRouters = aRouters;
  mShares.SetLocal(mLimiter.Demands(SteadyNow()));
  for (const WorkspaceSpec& workspace :
       AcceptedConfiguration().mIntent.mWorkspaces) {
    const double share = mShares.Share(workspace.mName, aRouters);
    mLimiter.SetLimits(
        workspace.mName,
        {.mMaximumConcurrent = workspace.mMaximumConcurrent * share,
         .mRequestsPerSecond = workspace.mRequestsPerSecond * share,
         .mWeight = workspace.mWeight});
  }
}

std::uint64_t RouterContext::SubmitForAdmission(
    AdmissionRequest aRequest,
    std::function<void(const AdmissionOutcome&)> aDone) {
  aRequest.mTicket = mNextTicket++;
  mPendingAdmissions[aRequest.mTicket] = std::move(aDone);
  DeliverOutcomes(mLimiter.Submit(aRequest, SteadyNow()));
  return aRequest.mTicket;
}

void RouterContext::WithdrawTicket(std::uint64_t aTicket) {
  if (mPendingAdmissions.erase(aTicket) > 0) {
    mLimiter.Withdraw(aTicket);
  }
}

void RouterContext::ReleaseSlot(const std::string& aWorkspace) {
  DeliverOutcomes(mLimiter.Release(aWorkspace, SteadyNow()));
}

void RouterContext::DeliverOutcomes(
    const std::vector<AdmissionOutcome>& aOutcomes) {
  for (const AdmissionOutcome& outcome : aOutcomes) {
    const auto it = mPendingAdmissions.find(outcome.mTicket);
    if (it == mPendingAdmissions.end()) {
      continue;
    }
    const auto callback = std::move(it->second);
    mPendingAdmissions.erase(it);
    callback(outcome);
  }
}

void RouterContext::RefreshLeaving() {
  for (const auto& [vm, upstream] : mView.All()) {
    const EngineReport& report = upstream.mReport;
    if (upstream.mReportedAt < 0) {
      continue;
    }
    mLeaving.OnSeen(vm, report.mIncarnation);
    if (report.mLeaving) {
      AddLeaveNotice({vm, report.mIncarnation}, "its own report");
    }
  }
  for (const std::string& vm : mView.TakeNewlyLeaving()) {
    const Upstream* upstream = mView.Find(vm);
    if (upstream != nullptr) {
      mLeaving.Retain({vm}, SteadyNow());
      AddLeaveNotice({vm, upstream->mReport.mIncarnation}, "the platform");
    }
  }
  mView.SetLeaving(mLeaving.Vms());
}

bool RouterContext::AddLeaveNotice(const LeaveNotice& aNotice,
                                   const std::string& aSource) {
  const bool added = mLeaving.Add(aNotice);
  if (added) {
    LogLine(LogLevel::kInfo, "upstream_leaving")
        .Add("vm", aNotice.mVm)
        .Add("by", aSource);
  }
  return added;
}

std::string RouterContext::NextRequestId() {
  return mOptions.mId + "-" + std::to_string(mIncarnation) + "-" +
         std::to_string(mNextRequest++);
}

double RouterContext::Random() {
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

double RouterContext::LinkMillis(const std::string& aFrom,
                                 const std::string& aTo) const {
  return aFrom == aTo ? kSameZoneMillis : kOtherZoneMillis;
}

}  // namespace spindleweir
