/// Fuzzing of admission against a count of tickets: each ticket gets exactly
/// one outcome, limits hold, and no ticket is left at the end.
#include <rapidcheck.h>

#include <map>
#include <set>
#include <vector>

#include "spindleweir/servers/limits/workspace_limiter.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr int kMaximumInFlight = 6;
constexpr std::size_t kMaximumQueue = 16;

class AdmissionModel {
 public:
  AdmissionModel()
      : mLimiter({.mMaximumInFlight = kMaximumInFlight,
                  .mMaximumQueue = kMaximumQueue,
                  .mMaximumWait = 500}) {
    for (int i = 0; i < 3; i++) {
      mLimiter.SetLimits(NameOf(i), {.mMaximumConcurrent = 2.0 + i,
                                     .mRequestsPerSecond = 50.0 * (i + 1)});
    }
  }

  static std::string NameOf(int aIndex) { return "w" + std::to_string(aIndex); }

  void Step(int aDice) {
    const int which = aDice / 8;
    const std::string workspace = NameOf(which % 3);
    switch (aDice % 8) {
      case 0:
      case 1:
      case 2: {
        AdmissionRequest request;
        request.mTicket = mNextTicket++;
        request.mWorkspace = workspace;
        request.mPriority = which % 5;
        request.mDeadline = which % 4 == 0 ? mNow + which % 300 : 0;
        request.mServiceMillis = which % 50;
        mPending[request.mTicket] = workspace;
        ApplyOutcomes(mLimiter.Submit(request, mNow));
        break;
      }
      case 3:
      case 4:
        for (const auto& [ticket, name] : mAdmitted) {
          if (name == workspace) {
            mAdmitted.erase(ticket);
            ApplyOutcomes(mLimiter.Release(workspace, mNow));
            break;
          }
        }
        break;
      case 5:
        if (!mPending.empty()) {
          mLimiter.Withdraw(mPending.begin()->first);
          mPending.erase(mPending.begin());
        }
        break;
      default:
        mNow += which % 60;
        ApplyOutcomes(mLimiter.Tick(mNow));
        break;
    }
    CheckInvariants();
  }

  void ApplyOutcomes(const std::vector<AdmissionOutcome>& aOutcomes) {
    for (const AdmissionOutcome& outcome : aOutcomes) {
      const auto it = mPending.find(outcome.mTicket);
      mValid = mValid && it != mPending.end();
      if (it == mPending.end()) {
        return;
      }
      if (outcome.mCode == ResultCode::kOk) {
        mAdmitted[outcome.mTicket] = it->second;
      } else {
        mValid = mValid && outcome.mRetryAfter > 0;
      }
      mPending.erase(it);
    }
  }

  void CheckInvariants() {
    std::map<std::string, int> counts;
    for (const auto& [ticket, name] : mAdmitted) {
      counts[name]++;
    }
    for (int i = 0; i < 3; i++) {
      mValid = mValid && counts[NameOf(i)] <= 2 + i &&
               counts[NameOf(i)] == mLimiter.InFlight(NameOf(i));
    }
    mValid = mValid && static_cast<int>(mAdmitted.size()) <= kMaximumInFlight &&
             mLimiter.Queued() == mPending.size() &&
             mLimiter.Queued() <= kMaximumQueue;
  }

  bool DrainsCompletely() {
    for (int i = 0; i < 2000 && !(mPending.empty() && mAdmitted.empty()); i++) {
      mNow += 50;
      ApplyOutcomes(mLimiter.Tick(mNow));
      if (!mAdmitted.empty()) {
        const std::string name = mAdmitted.begin()->second;
        mAdmitted.erase(mAdmitted.begin());
        ApplyOutcomes(mLimiter.Release(name, mNow));
      }
    }
    return mPending.empty() && mLimiter.InFlight() == 0;
  }

  bool IsValid() const { return mValid; }

 private:
  WorkspaceLimiter mLimiter;
  Millis mNow = 0;
  std::uint64_t mNextTicket = 1;
  std::map<std::uint64_t, std::string> mPending;
  std::map<std::uint64_t, std::string> mAdmitted;
  bool mValid = true;
};

}  // namespace

Test(limits_fuzz, every_ticket_gets_one_outcome_and_limits_hold) {
  cr_assert(rc::check("limits", [] {
    AdmissionModel model;
    const auto dice = *rc::gen::container<std::vector<int>>(
        1000, rc::gen::inRange(0, 8 * 1024));
    for (int item : dice) {
      model.Step(item);
    }
    RC_ASSERT(model.IsValid());
    RC_ASSERT(model.DrainsCompletely());
  }));
}
