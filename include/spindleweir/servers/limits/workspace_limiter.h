/// Admission control: applies each workspace's limits, and queues requests in a
/// bounded queue that is served by the workspaces' weights while this router is
/// full.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/result_code.h"
#include "spindleweir/servers/limits/share_divider.h"

namespace spindleweir {

/// A workspace's limits on this router: its share of the limits of all routers.
struct WorkspaceLimits {
  double mMaximumConcurrent = 0;
  double mRequestsPerSecond = 0;
  double mWeight = 1;  ///< Of its queue while this router is full.
};

struct LimiterOptions {
  int mMaximumInFlight = 512;        ///< Of all workspaces together.
  std::size_t mMaximumQueue = 1024;  ///< Of all workspaces together.
  Millis mMaximumWait = 2000;        ///< In the queue.
  /// Of this process; -1: long ago. A process that starts has saved nothing of
  /// a rate, since the process before may just have spent it.
  Millis mStartedAt = -1;
};

/// A request for admission.
struct AdmissionRequest {
  std::uint64_t mTicket = 0;  ///< Chosen by the user of this class.
  std::string mWorkspace;
  int mPriority = 0;          ///< A greater one goes first in a workspace.
  Millis mDeadline = 0;       ///< Absolute; 0: none.
  double mServiceMillis = 0;  ///< Expected time once admitted.
};

/// The decision about a ticket.
struct AdmissionOutcome {
  std::uint64_t mTicket = 0;
  ResultCode mCode = ResultCode::kOk;  ///< kOk: admitted.
  Millis mRetryAfter = 0;              ///< When to retry, if refused.
};

/// Decides which requests are admitted. Each ticket gets exactly one outcome,
/// unless it is withdrawn.
class WorkspaceLimiter {
 public:
  explicit WorkspaceLimiter(LimiterOptions aOptions);

  /// Replaces a workspace's limits.
  void SetLimits(const std::string& aWorkspace, const WorkspaceLimits& aLimits);

  /// Asks for admission. Returns the outcome if it is known at once; otherwise
  /// the request is queued, and a later Release() or Tick() returns it.
  std::vector<AdmissionOutcome> Submit(const AdmissionRequest& aRequest,
                                       Millis aNow);
  /// An admitted request has ended. Returns the outcomes for queued requests.
  std::vector<AdmissionOutcome> Release(const std::string& aWorkspace,
                                        Millis aNow);
  /// Removes a queued ticket, as its caller has left.
  void Withdraw(std::uint64_t aTicket);
  /// Refuses requests that were queued for too long; admits others as far as
  /// rates allow.
  std::vector<AdmissionOutcome> Tick(Millis aNow);

  /// The current demand of each workspace that has any.
  std::vector<WorkspaceDemand> Demands(Millis aNow);

  int InFlight() const { return mInFlight; }
  int InFlight(const std::string& aWorkspace) const;
  std::size_t Queued() const { return mQueued; }

 private:
  struct QueuedRequest {
    AdmissionRequest mRequest;
    Millis mSince;
  };
  struct Workspace {
    WorkspaceLimits mLimits;
    int mInFlight = 0;
    double mTokens = 0;     ///< In the token bucket of the rate.
    Millis mFilledAt = -1;  ///< -1: not since the start.
    /// Rises by 1 / mWeight with each admitted request. The queue of the
    /// workspace with the least value is served next.
    double mVirtualTime = 0;
    std::deque<QueuedRequest> mQueue;
    std::deque<Millis> mRefusals;  ///< In the last second; bounded.
  };

  void Refill(Workspace& aWorkspace, Millis aNow) const;
  bool HasRoom(const Workspace& aWorkspace) const;
  void Admit(Workspace& aWorkspace);
  void Enqueue(Workspace& aWorkspace, const AdmissionRequest& aRequest,
               Millis aNow);
  void AdmitWaiting(Millis aNow, std::vector<AdmissionOutcome>& aOut);
  bool MissesDeadline(const AdmissionRequest& aRequest, Millis aNow) const;
  Millis ExpectedWait(const Workspace& aWorkspace) const;
  Millis RetryAfter(const Workspace& aWorkspace) const;

  LimiterOptions mOptions;
  std::map<std::string, Workspace> mWorkspaces;
  int mInFlight = 0;
  std::size_t mQueued = 0;
  double mVirtualNow = 0;
  double mServiceMillis = 0;  ///< Moving mean of the expected times.
};

}  // namespace spindleweir
