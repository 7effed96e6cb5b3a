#include "daemons/router/router_context.h"

#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr std::size_t kOutboxReceipts = 4096;
constexpr Millis kLimiterPeriod = 20;
constexpr Millis kRetainPeriod = 500;
/// Until links are measured: what the users' pages say of their zones.
constexpr double kSameZoneMillis = 0.1;
constexpr double kOtherZoneMillis = 0.9;

}  // namespace

RouterContext::RouterContext(EventLoop& aLoop, RouterOptions aOptions)
    : mLoop(aLoop),
      mOptions(std::move(aOptions)),
      mIncarnation(WallNow()),
      mClient(aLoop),
      mRpc(mClient, mOptions.mClusterKey),
      mEngines(mClient),
      mEntryVms(aLoop, mOptions.mEntryVms),
      mView({}),
      mLimiter(
          {.mMaximumInFlight = mOptions.mMaximumInFlight,
           .mMaximumQueue = static_cast<std::size_t>(mOptions.mMaximumQueue)}),
      mRetryBudget({}),
      mOutbox(kOutboxReceipts),
      mRandom(std::random_device{}()),
      mRetainTimer(
          aLoop.Every(kRetainPeriod,
                      [this] { mLeaving.Retain(mView.Names(), SteadyNow()); })),
      mLimiterTimer(aLoop.Every(
          kLimiterPeriod, [this] { Announce(mLimiter.Tick(SteadyNow())); })) {}

ConfigurationUpdateResult RouterContext::Accept(
    const ConfigurationUpdate& aNews) {
  const ConfigurationUpdateResult verdict = mHistory.ApplyUpdate(aNews);
  if (verdict == ConfigurationUpdateResult::kFork ||
      verdict == ConfigurationUpdateResult::kHashMismatch) {
    const bool fork = verdict == ConfigurationUpdateResult::kFork;
    mCounters.Add(fork ? "configuration_forks" : "configuration_bad_hashes");
    LogLine(LogLevel::kError,
            fork ? "configuration_fork" : "configuration_bad_hash")
        .Add("version", static_cast<Json::Int64>(Accepted().mVersion));
  }
  if (verdict != ConfigurationUpdateResult::kApplied) {
    return verdict;
  }
  const Configuration& accepted = Accepted();
  mLeaving.SetDrained(accepted.mDrained);
  RefreshLeaving();
  ShareLimits(mSharingRouters);
  mCounters.Set("configuration_version", accepted.mVersion);
  LogLine(LogLevel::kInfo, "configuration_in_force")
      .Add("version", static_cast<Json::Int64>(accepted.mVersion))
      .Add("whole", aNews.mIsFull)
      .Add("hash", accepted.mHash);
  if (mOptions.mOnConfiguration) {
    mOptions.mOnConfiguration(accepted.mVersion);
  }
  return verdict;
}

void RouterContext::ShareLimits(std::size_t aRouters) {
  mSharingRouters = aRouters;
  mShares.SetLocal(mLimiter.Demands(SteadyNow()));
  for (const WorkspaceSpec& workspace : Accepted().mIntent.mWorkspaces) {
    const double share = mShares.Share(workspace.mName, aRouters);
    mLimiter.SetLimits(
        workspace.mName,
        {.mMaximumConcurrent = workspace.mMaximumConcurrent * share,
         .mRequestsPerSecond = workspace.mRequestsPerSecond * share,
         .mWeight = workspace.mWeight});
  }
}

std::uint64_t RouterContext::Ask(
    AdmissionRequest aRequest,
    std::function<void(const AdmissionOutcome&)> aDone) {
  aRequest.mTicket = mNextTicket++;
  mWaiting[aRequest.mTicket] = std::move(aDone);
  Announce(mLimiter.Submit(aRequest, SteadyNow()));
  return aRequest.mTicket;
}

void RouterContext::WithdrawTicket(std::uint64_t aTicket) {
  if (mWaiting.erase(aTicket) > 0) {
    mLimiter.Withdraw(aTicket);
  }
}

void RouterContext::ReleasePlace(const std::string& aWorkspace) {
  Announce(mLimiter.Release(aWorkspace, SteadyNow()));
}

void RouterContext::Announce(const std::vector<AdmissionOutcome>& aOutcomes) {
  for (const AdmissionOutcome& outcome : aOutcomes) {
    const auto it = mWaiting.find(outcome.mTicket);
    if (it == mWaiting.end()) {
      continue;
    }
    const auto call = std::move(it->second);
    mWaiting.erase(it);
    call(outcome);
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
      AddLeavingWord({vm, report.mIncarnation}, "its own word");
    }
  }
  for (const std::string& vm : mView.TakeNewlyLeaving()) {
    const Upstream* upstream = mView.Find(vm);
    if (upstream != nullptr) {
      mLeaving.Retain({vm}, SteadyNow());
      AddLeavingWord({vm, upstream->mReport.mIncarnation}, "the platform");
    }
  }
  mView.SetLeaving(mLeaving.Vms());
}

bool RouterContext::AddLeavingWord(const LeaveNotice& aWord,
                                   const std::string& aBy) {
  const bool news = mLeaving.Add(aWord);
  if (news) {
    LogLine(LogLevel::kInfo, "upstream_leaving")
        .Add("vm", aWord.mVm)
        .Add("by", aBy);
  }
  return news;
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
