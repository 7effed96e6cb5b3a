/// Admission: each workspace's limits, and a bounded queue served in turn by
/// weight when this router is full.
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

/// A workspace's limits as they hold on this router: its share of the whole.
struct WorkspaceLimits {
  double mMaximumConcurrent = 0;
  double mRequestsPerSecond = 0;
  double mWeight = 1;
};

/// How the limiter is set up.
struct LimiterOptions {
  int mMaximumInFlight = 512;        ///< Over all workspaces.
  std::size_t mMaximumQueue = 1024;  ///< Over all workspaces.
  Millis mMaximumWait = 2000;        ///< In the queue.
};

/// A request that asks for admission.
struct AdmissionRequest {
  std::uint64_t mTicket = 0;  ///< The caller's number for it.
  std::string mWorkspace;
  int mPriority = 0;          ///< Greater goes first within a workspace.
  Millis mDeadline = 0;       ///< Absolute; 0: none.
  double mServiceMillis = 0;  ///< Expected time once admitted.
};

/// What became of a ticket.
struct AdmissionOutcome {
  std::uint64_t mTicket = 0;
  ResultCode mCode = ResultCode::kOk;  ///< kOk: admitted.
  Millis mRetryAfter = 0;              ///< When to come back, if refused.
};

/// Decides who goes in. Each ticket gets exactly one outcome, unless it is
/// withdrawn; refusals are given at once.
class WorkspaceLimiter {
 public:
  explicit WorkspaceLimiter(LimiterOptions aOptions);

  /// Replaces a workspace's limits.
  void SetLimits(const std::string& aWorkspace, const WorkspaceLimits& aLimits);

  /// Asks for a place. Returns the outcome where it is known at once, else
  /// nothing: it comes from a later Release() or Tick().
  std::vector<AdmissionOutcome> Submit(const AdmissionRequest& aRequest,
                                       Millis aNow);
  /// Gives back the place of an admitted request; returns who goes in.
  std::vector<AdmissionOutcome> Release(const std::string& aWorkspace,
                                        Millis aNow);
  /// Takes a waiting ticket back: its caller left.
  void Withdraw(std::uint64_t aTicket);
  /// Ends waits that took too long; admits as rates allow.
  std::vector<AdmissionOutcome> Tick(Millis aNow);

  /// How much each workspace asks now; those that ask nothing are left out.
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
    double mTokens = 0;  ///< Of the rate's bucket.
    Millis mFilledAt = -1;
    double mVirtualTime = 0;  ///< Work done, by weight.
    std::deque<QueuedRequest> mQueue;
    std::deque<Millis> mRefusals;  ///< Of the last second, bounded.
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
  double mServiceMillis = 0;  ///< A moving mean of expected service times.
};

}  // namespace spindleweir
