#include "spindleweir/servers/limits/workspace_limiter.h"

#include <algorithm>
#include <cmath>

namespace spindleweir {

namespace {

constexpr double kMillisPerSecond = 1000;
/// The burst that is admitted at once is this many seconds of the rate.
constexpr double kBurstSeconds = 0.5;
constexpr Millis kMinRetryAfter = 100;
/// Weight of one request in the moving mean of service times.
constexpr double kMeanWeight = 0.05;
/// Refusals count towards a workspace's demand for kRefusalWindow.
constexpr std::size_t kMaxCountedRefusals = 1024;
constexpr Millis kRefusalWindow = 1000;

/// Capacity of the token bucket: the number of requests that may arrive at once
/// before the rate limits them.
double BurstOf(const WorkspaceLimits& aLimits) {
  return std::max(1.0, aLimits.mRequestsPerSecond * kBurstSeconds);
}

}  // namespace

WorkspaceLimiter::WorkspaceLimiter(LimiterOptions aOptions)
    : mOptions(aOptions) {}

void WorkspaceLimiter::SetLimits(const std::string& aWorkspace,
                                 const WorkspaceLimits& aLimits) {
  mWorkspaces[aWorkspace].mLimits = aLimits;
}

std::vector<WorkspaceDemand> WorkspaceLimiter::Demands(Millis aNow) {
  std::vector<WorkspaceDemand> demands;
  for (auto& [name, workspace] : mWorkspaces) {
    std::deque<Millis>& refusals = workspace.mRefusals;
    while (!refusals.empty() && refusals.front() + kRefusalWindow <= aNow) {
      refusals.pop_front();
    }
    const auto demand = static_cast<double>(workspace.mInFlight) +
                        static_cast<double>(workspace.mQueue.size()) +
                        static_cast<double>(refusals.size());
    if (demand > 0) {
      demands.push_back({name, demand});
    }
  }
  return demands;
}

int WorkspaceLimiter::InFlight(const std::string& aWorkspace) const {
  const auto it = mWorkspaces.find(aWorkspace);
  return it == mWorkspaces.end() ? 0 : it->second.mInFlight;
}

void WorkspaceLimiter::Refill(Workspace& aWorkspace, Millis aNow) const {
  const double burst = BurstOf(aWorkspace.mLimits);
  const Millis from =
      aWorkspace.mFilledAt < 0 ? mOptions.mStartedAt : aWorkspace.mFilledAt;
  const double gained = from < 0 ? burst
                                 : aWorkspace.mLimits.mRequestsPerSecond *
                                       static_cast<double>(aNow - from) /
                                       kMillisPerSecond;
  aWorkspace.mTokens = std::min(burst, aWorkspace.mTokens + gained);
  aWorkspace.mFilledAt = aNow;
}

bool WorkspaceLimiter::HasRoom(const Workspace& aWorkspace) const {
  const double maxConcurrent =
      std::max(1.0, aWorkspace.mLimits.mMaximumConcurrent);
  return aWorkspace.mInFlight + 1 <= maxConcurrent && aWorkspace.mTokens >= 1;
}

void WorkspaceLimiter::Admit(Workspace& aWorkspace) {
  aWorkspace.mInFlight++;
  aWorkspace.mTokens -= 1;
  aWorkspace.mVirtualTime = std::max(aWorkspace.mVirtualTime, mVirtualNow) +
                            1 / std::max(aWorkspace.mLimits.mWeight, 1e-6);
  mInFlight++;
}

Millis WorkspaceLimiter::ExpectedWait(const Workspace& aWorkspace) const {
  const double slots =
      std::max(1.0, std::min(aWorkspace.mLimits.mMaximumConcurrent,
                             static_cast<double>(mOptions.mMaximumInFlight)));
  const auto queuedAhead = static_cast<double>(aWorkspace.mQueue.size());
  const double waitBySlots = (queuedAhead + 1) * mServiceMillis / slots;
  const double rate = std::max(aWorkspace.mLimits.mRequestsPerSecond, 1e-6);
  const double waitByRate =
      std::max(0.0, queuedAhead + 1 - aWorkspace.mTokens) * kMillisPerSecond /
      rate;
  return static_cast<Millis>(std::max(waitBySlots, waitByRate));
}

Millis WorkspaceLimiter::RetryAfter(const Workspace& aWorkspace) const {
  return std::max(kMinRetryAfter, ExpectedWait(aWorkspace));
}

bool WorkspaceLimiter::MissesDeadline(const AdmissionRequest& aRequest,
                                      Millis aNow) const {
  return aRequest.mDeadline > 0 &&
         static_cast<double>(aNow) + aRequest.mServiceMillis >
             static_cast<double>(aRequest.mDeadline);
}

std::vector<AdmissionOutcome> WorkspaceLimiter::Submit(
    const AdmissionRequest& aRequest, Millis aNow) {
  Workspace& workspace = mWorkspaces[aRequest.mWorkspace];
  Refill(workspace, aNow);
  mServiceMillis += kMeanWeight * (aRequest.mServiceMillis - mServiceMillis);
  const auto refuse = [&](ResultCode aCode) {
    if (workspace.mRefusals.size() < kMaxCountedRefusals) {
      workspace.mRefusals.push_back(aNow);
    }
    return std::vector<AdmissionOutcome>{
        {aRequest.mTicket, aCode, RetryAfter(workspace)}};
  };
  if (MissesDeadline(aRequest, aNow)) {
    return refuse(ResultCode::kDeadlineTooShort);
  }
  const bool admitNow = workspace.mQueue.empty() && HasRoom(workspace) &&
                        mInFlight < mOptions.mMaximumInFlight;
  if (admitNow) {
    Admit(workspace);
    return {{.mTicket = aRequest.mTicket}};
  }
  const Millis wait = ExpectedWait(workspace);
  if (MissesDeadline(aRequest, aNow + wait)) {
    return refuse(ResultCode::kDeadlineTooShort);
  }
  if (wait > mOptions.mMaximumWait) {
    return refuse(ResultCode::kOverLimit);
  }
  // Each workspace may fill at most a quarter of the queue, so that one that
  // sends too much leaves room for the others.
  const std::size_t maxQueuedEach =
      std::max<std::size_t>(1, mOptions.mMaximumQueue / 4);
  if (mQueued >= mOptions.mMaximumQueue ||
      workspace.mQueue.size() >= maxQueuedEach) {
    return refuse(ResultCode::kQueueFull);
  }
  Enqueue(workspace, aRequest, aNow);
  return {};
}

void WorkspaceLimiter::Enqueue(Workspace& aWorkspace,
                               const AdmissionRequest& aRequest, Millis aNow) {
  const auto it =
      std::find_if(aWorkspace.mQueue.begin(), aWorkspace.mQueue.end(),
                   [&aRequest](const QueuedRequest& aQueued) {
                     return aQueued.mRequest.mPriority < aRequest.mPriority;
                   });
  aWorkspace.mQueue.insert(it, {aRequest, aNow});
  mQueued++;
}

std::vector<AdmissionOutcome> WorkspaceLimiter::Release(
    const std::string& aWorkspace, Millis aNow) {
  Workspace& workspace = mWorkspaces[aWorkspace];
  workspace.mInFlight--;
  mInFlight--;
  std::vector<AdmissionOutcome> out;
  AdmitWaiting(aNow, out);
  return out;
}

void WorkspaceLimiter::Withdraw(std::uint64_t aTicket) {
  for (auto& [name, workspace] : mWorkspaces) {
    mQueued -= std::erase_if(workspace.mQueue,
                             [aTicket](const QueuedRequest& aQueued) {
                               return aQueued.mRequest.mTicket == aTicket;
                             });
  }
}

std::vector<AdmissionOutcome> WorkspaceLimiter::Tick(Millis aNow) {
  std::vector<AdmissionOutcome> out;
  for (auto& [name, workspace] : mWorkspaces) {
    Refill(workspace, aNow);
    for (auto it = workspace.mQueue.begin(); it != workspace.mQueue.end();) {
      const bool late = MissesDeadline(it->mRequest, aNow);
      if (!late && aNow - it->mSince <= mOptions.mMaximumWait) {
        ++it;
        continue;
      }
      out.push_back(
          {it->mRequest.mTicket,
           late ? ResultCode::kDeadlineTooShort : ResultCode::kOverLimit,
           RetryAfter(workspace)});
      it = workspace.mQueue.erase(it);
      mQueued--;
    }
  }
  AdmitWaiting(aNow, out);
  return out;
}

void WorkspaceLimiter::AdmitWaiting(Millis aNow,
                                    std::vector<AdmissionOutcome>& aOut) {
  while (mQueued > 0 && mInFlight < mOptions.mMaximumInFlight) {
    Workspace* next = nullptr;
    for (auto& [name, workspace] : mWorkspaces) {
      if (workspace.mQueue.empty()) {
        continue;
      }
      Refill(workspace, aNow);
      const bool earlier =
          next == nullptr || workspace.mVirtualTime < next->mVirtualTime;
      if (HasRoom(workspace) && earlier) {
        next = &workspace;
      }
    }
    if (next == nullptr) {
      return;
    }
    const AdmissionRequest request = next->mQueue.front().mRequest;
    next->mQueue.pop_front();
    mQueued--;
    if (MissesDeadline(request, aNow)) {
      aOut.push_back(
          {request.mTicket, ResultCode::kDeadlineTooShort, RetryAfter(*next)});
      continue;
    }
    mVirtualNow = std::max(mVirtualNow, next->mVirtualTime);
    Admit(*next);
    aOut.push_back({.mTicket = request.mTicket});
  }
}

}  // namespace spindleweir
