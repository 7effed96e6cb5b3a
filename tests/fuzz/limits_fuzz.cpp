/// Fuzzing of admission against a count: every ticket gets exactly one
/// outcome, limits hold, and nothing is left over at the end.
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

class World {
 public:
  World()
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
        mOpen[request.mTicket] = workspace;
        Take(mLimiter.Submit(request, mNow));
        break;
      }
      case 3:
      case 4:
        for (const auto& [ticket, name] : mAdmitted) {
          if (name == workspace) {
            mAdmitted.erase(ticket);
            Take(mLimiter.Release(workspace, mNow));
            break;
          }
        }
        break;
      case 5:
        if (!mOpen.empty()) {
          mLimiter.Withdraw(mOpen.begin()->first);
          mOpen.erase(mOpen.begin());
        }
        break;
      default:
        mNow += which % 60;
        Take(mLimiter.Tick(mNow));
        break;
    }
    Judge();
  }

  void Take(const std::vector<AdmissionOutcome>& aOutcomes) {
    for (const AdmissionOutcome& outcome : aOutcomes) {
      const auto it = mOpen.find(outcome.mTicket);
      mGood = mGood && it != mOpen.end();
      if (it == mOpen.end()) {
        return;
      }
      if (outcome.mCode == ResultCode::kOk) {
        mAdmitted[outcome.mTicket] = it->second;
      } else {
        mGood = mGood && outcome.mRetryAfter > 0;
      }
      mOpen.erase(it);
    }
  }

  void Judge() {
    std::map<std::string, int> counts;
    for (const auto& [ticket, name] : mAdmitted) {
      counts[name]++;
    }
    for (int i = 0; i < 3; i++) {
      mGood = mGood && counts[NameOf(i)] <= 2 + i &&
              counts[NameOf(i)] == mLimiter.InFlight(NameOf(i));
    }
    mGood = mGood && static_cast<int>(mAdmitted.size()) <= kMaximumInFlight &&
            mLimiter.Queued() == mOpen.size() &&
            mLimiter.Queued() <= kMaximumQueue;
  }

  bool Drains() {
    for (int i = 0; i < 2000 && !(mOpen.empty() && mAdmitted.empty()); i++) {
      mNow += 50;
      Take(mLimiter.Tick(mNow));
      if (!mAdmitted.empty()) {
        const std::string name = mAdmitted.begin()->second;
        mAdmitted.erase(mAdmitted.begin());
        Take(mLimiter.Release(name, mNow));
      }
    }
    return mOpen.empty() && mLimiter.InFlight() == 0;
  }

  bool Good() const { return mGood; }

 private:
  WorkspaceLimiter mLimiter;
  Millis mNow = 0;
  std::uint64_t mNextTicket = 1;
  std::map<std::uint64_t, std::string> mOpen;
  std::map<std::uint64_t, std::string> mAdmitted;
  bool mGood = true;
};

}  // namespace

Test(limits_fuzz, every_ticket_gets_one_outcome_and_limits_hold) {
  cr_assert(rc::check("limits", [] {
    World world;
    const auto dice = *rc::gen::container<std::vector<int>>(
        1000, rc::gen::inRange(0, 8 * 1024));
    for (int item : dice) {
      world.Step(item);
    }
    RC_ASSERT(world.Good());
    RC_ASSERT(world.Drains());
  }));
}
