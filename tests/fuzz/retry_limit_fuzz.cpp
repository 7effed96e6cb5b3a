/// Fuzzing of the limit on retries: over any series of kills, cuts, freezes,
/// restarts and replacements of routers and controls, with all routers asking
/// for all that they can get, no window has more retries than the limit allows.
#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "spindleweir/servers/limits/pool_share.h"
#include "spindleweir/servers/routing/retry_allowance.h"
#include "spindleweir/servers/routing/retry_pool.h"
#include "tests/fuzz/play_random.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr int kRouters = 7;
constexpr int kControls = 3;
constexpr Millis kStep = 20;
constexpr Millis kPlayed = 50000;
constexpr Millis kWindow = 10000;
constexpr double kRatio = 0.2;
constexpr double kSlack = 198;
constexpr int kWanted = 32;
constexpr Millis kAskTimeout = 300;
constexpr Millis kStallPeriod = 8000;
constexpr int kPlays = 60;

/// What may happen to processes in a play.
struct Troubles {
  bool mRouters = false;   ///< Kills, restarts and freezes of routers.
  bool mControls = false;  ///< The same of controls.
  bool mLinks = false;     ///< Cuts between routers and controls, late answers.
  bool mVoters = false;    ///< Voters are cut off, removed and replaced.
};

/// Faults that are built in, to see that the plays detect them.
enum class Defect {
  kNone,
  kSharesGrowAtOnce,    ///< A control has the shares of those that are down.
  kStartsForgetGrants,  ///< A control that starts grants at once.
  kNewVotersDoNotWait,  ///< A new voter grants beside the one it replaces.
  kCreditsFromArrival,  ///< A credit's time begins when it arrives.
  kUnpaidRetries,       ///< One of three retries spends nothing.
};

/// Credits on their way from a control to a router.
struct Answer {
  int mRouter;
  int mIncarnation;  ///< Of the router that asked.
  Millis mAskedAt;
  Millis mArrivesAt;
  int mGranted;
};

struct Router {
  std::unique_ptr<RetryAllowance> mAllowance;
  int mIncarnation = 0;
  Millis mDownUntil = 0;
  Millis mFrozenUntil = 0;
  Millis mAskedAt = -1;  ///< -1: no request to a control is under way.
};

/// What a control records.
struct GrantRecord {
  int mRetries = 0;
  int mVoters = 0;
};

struct Control {
  std::unique_ptr<RetryPool> mPool;
  std::unique_ptr<PoolShare> mShare;
  Millis mDownUntil = 0;
  Millis mFrozenUntil = 0;
  Millis mCutOffUntil = 0;  ///< From the other controls.
  bool mIsVoter = true;     ///< As a majority has decided.
  VoterState mKnown;        ///< As this control knows, also after a restart.
  std::optional<GrantRecord> mOnDisk;
  GrantRecord mWriting;
  Millis mWrittenAt = -1;  ///< When a write will be durable; -1: none runs.
};

/// Routers and controls, each with its own part of the limit, and a record of
/// the requests and retries of all.
class Play {
 public:
  Play(unsigned aSeed, Troubles aTroubles, Defect aDefect = Defect::kNone)
      : mRandom(aSeed),
        mTroubles(aTroubles),
        mDefect(aDefect),
        mRouters(kRouters),
        mControls(kControls) {
    for (int i = 0; i < kRouters; i++) {
      StartRouter(i);
    }
    for (Control& control : mControls) {
      control.mKnown = {.mVoters = kControls, .mIsVoter = true};
      StartControl(control, PreviousGrants::kNone);
    }
  }

  void Run() {
    for (mNow = 0; mNow < kPlayed; mNow += kStep) {
      mRequests.push_back(0);
      if (mRandom.Chance(0.04)) {
        MakeTrouble();
      }
      ShareVoters();
      RecordGrants();
      StartRequests();
      DeliverAnswers();
      if (mNow >= mTurnsAt) {
        mWants = !mWants;
        mTurnsAt = mNow + mRandom.Time(kWindow);
      }
      for (int i = 0; i < kRouters; i++) {
        if (mWants && IsRunning(mRouters[Index(i)])) {
          SpendAll(i);
          Ask(i);
        }
      }
    }
  }

  /// The greatest number of retries above the limit in any window; below zero:
  /// the limit holds.
  double MostOver() const {
    const auto window = static_cast<std::ptrdiff_t>(kWindow / kStep);
    const auto sum = [window](const std::vector<int>& aCounts,
                              std::ptrdiff_t aFrom) {
      const auto size = static_cast<std::ptrdiff_t>(aCounts.size());
      const auto from = std::clamp<std::ptrdiff_t>(aFrom, 0, size);
      const auto to = std::clamp<std::ptrdiff_t>(aFrom + window, 0, size);
      double total = 0;
      for (auto i = from; i < to; i++) {
        total += aCounts[static_cast<std::size_t>(i)];
      }
      return total;
    };
    double over = -kSlack;
    const auto steps = static_cast<std::ptrdiff_t>(mRequests.size());
    for (std::ptrdiff_t from = 0; from < steps; from++) {
      const double requests =
          std::max({sum(mRequests, from), sum(mRequests, from - window / 2),
                    sum(mRequests, from - window)});
      over = std::max(over, sum(mRetries, from) - kRatio * requests - kSlack);
    }
    return over;
  }

  int Spent() const {
    int spent = 0;
    for (const int retries : mRetries) {
      spent += retries;
    }
    return spent;
  }

 private:
  template <class Process>
  bool IsRunning(const Process& aProcess) const {
    return mNow >= aProcess.mDownUntil && mNow >= aProcess.mFrozenUntil;
  }

  static constexpr RetryLimits kLimits = {
      .mRatio = kRatio, .mWindow = kWindow, .mSlack = kSlack};

  void StartRouter(int aRouter) {
    Router& router = mRouters[Index(aRouter)];
    router.mAllowance = std::make_unique<RetryAllowance>(kLimits);
    router.mIncarnation++;
    router.mAskedAt = -1;
  }

  void StartControl(Control& aControl, PreviousGrants aPrevious) {
    const GrantRecord known = aControl.mOnDisk.value_or(GrantRecord());
    aControl.mWriting = known;
    aControl.mPool = std::make_unique<RetryPool>(kLimits, known.mRetries, mNow);
    aControl.mShare = std::make_unique<PoolShare>(
        PoolShareOptions{.mStartedAt = mNow,
                         .mPrevious = aPrevious,
                         .mPreviousVoters = known.mVoters,
                         .mGrantRetention = RetryGrantRetention(kLimits)});
    aControl.mKnown.mHasLeaderContact = false;
    aControl.mShare->Update(aControl.mKnown, mNow);
  }

  /// What is being written when a control ends may be kept or not.
  void RestartControl(Control& aControl) {
    if (aControl.mWrittenAt >= 0 && mRandom.Chance(0.5)) {
      aControl.mOnDisk = aControl.mWriting;
    }
    aControl.mWrittenAt = -1;
    if (mDefect == Defect::kStartsForgetGrants) {
      aControl.mOnDisk = {.mRetries = 0, .mVoters = aControl.mWriting.mVoters};
    }
    StartControl(aControl, aControl.mOnDisk.has_value()
                               ? PreviousGrants::kRecorded
                               : PreviousGrants::kUnknown);
  }

  void RecordGrants() {
    for (Control& control : mControls) {
      if (!IsRunning(control)) {
        continue;
      }
      if (control.mWrittenAt >= 0 && mNow >= control.mWrittenAt) {
        control.mWrittenAt = -1;
        control.mOnDisk = control.mWriting;
        control.mPool->EndRecord(true);
      }
      const double share = ShareOf(control);
      const int voters = control.mShare->RecentVoters();
      const bool isDue = voters != control.mWriting.mVoters ||
                         control.mPool->NeedsRecord(share, mNow);
      if (control.mWrittenAt < 0 && isDue) {
        control.mWriting = {.mRetries = control.mPool->BeginRecord(share, mNow),
                            .mVoters = voters};
        control.mWrittenAt =
            mNow + mRandom.Time(mRandom.Chance(0.1) ? 3000 : 2 * kStep);
      }
    }
  }

  void MakeTrouble() {
    const int kind = mRandom.Below(8);
    const Millis length = mRandom.Time(mRandom.Chance(0.3) ? 15000 : 2000);
    if (kind < 2 && mTroubles.mRouters) {
      KillRouters();
    }
    if (kind == 2 && mTroubles.mRouters) {
      mRouters[Index(mRandom.Below(kRouters))].mFrozenUntil = mNow + length;
    }
    if (kind == 3 && mTroubles.mControls) {
      Control& control = AnyControl();
      RestartControl(control);
      control.mDownUntil = mNow + length;
    }
    if (kind == 4 && mTroubles.mControls) {
      AnyControl().mFrozenUntil = mNow + length;
    }
    if (kind == 5 && mTroubles.mLinks) {
      for (int i = 0; i < kRouters; i++) {
        if (mRandom.Chance(0.5)) {
          mCutUntil[{i, mRandom.Below(static_cast<int>(mControls.size()))}] =
              mNow + length;
        }
      }
    }
    if (kind == 6 && mTroubles.mVoters) {
      AnyControl().mCutOffUntil = mNow + length;
    }
    if (kind == 7 && mTroubles.mVoters) {
      ReplaceVoter();
    }
  }

  Control& AnyControl() {
    return mControls[Index(mRandom.Below(static_cast<int>(mControls.size())))];
  }

  int Voters() const {
    return static_cast<int>(
        std::count_if(mControls.begin(), mControls.end(),
                      [](const Control& aItem) { return aItem.mIsVoter; }));
  }

  /// An empty control takes the place of a voter, which may run on. Both vote
  /// for a moment, unless the old one is removed first.
  void ReplaceVoter() {
    Control& old = AnyControl();
    if (!old.mIsVoter || Voters() != kControls) {
      return;
    }
    if (mRandom.Chance(0.5)) {
      old.mIsVoter = false;
      ShareVoters();
    }
    if (mDefect == Defect::kNewVotersDoNotWait) {
      Control next;
      next.mKnown = {.mVoters = Voters(), .mIsVoter = true};
      StartControl(next, PreviousGrants::kNone);
      old.mIsVoter = false;
      mControls.push_back(std::move(next));
      return;
    }
    old.mCutOffUntil = mRandom.Chance(0.5) ? mNow + kPlayed : old.mCutOffUntil;
    Control next;
    StartControl(next, PreviousGrants::kUnknown);
    next.mIsVoter = true;
    const auto index = static_cast<std::size_t>(&old - mControls.data());
    mControls.push_back(std::move(next));
    ShareVoters();
    mControls[index].mIsVoter = false;
  }

  /// The controls that a leader reaches learn of the voters.
  void ShareVoters() {
    for (Control& control : mControls) {
      if (!IsRunning(control)) {
        continue;
      }
      const bool hasContact = control.mIsVoter && mNow >= control.mCutOffUntil;
      if (hasContact) {
        control.mKnown = {.mVoters = Voters(), .mIsVoter = true};
      }
      control.mKnown.mHasLeaderContact = hasContact;
      control.mShare->Update(control.mKnown, mNow);
    }
  }

  /// Kills one router or most of them, which start again soon.
  void KillRouters() {
    const double share = mRandom.Chance(0.5) ? 0.9 : 0.1;
    for (int i = 0; i < kRouters; i++) {
      if (mRandom.Chance(share)) {
        mRouters[Index(i)].mDownUntil = mNow + mRandom.Time(1000);
        StartRouter(i);
      }
    }
  }

  void StartRequests() {
    if (mNow % 1000 == 0) {
      mPerStep = mRandom.Chance(0.2) ? 0 : 2 * mRandom.Real();
    }
    const int count = mRandom.Count(mPerStep);
    for (int i = 0; i < count; i++) {
      Router& router = mRouters[Index(mRandom.Below(kRouters))];
      if (IsRunning(router)) {
        router.mAllowance->RequestStarted(mNow);
      }
      // Callers have sent it in any case.
      mRequests.back()++;
    }
  }

  /// A retry reaches its upstream up to the longest time after it was spent.
  void RecordRetry() {
    const auto delay = static_cast<std::size_t>(
        mRandom.Time(kMaxRetrySendDelay - kStep) / kStep);
    mRetries[mRequests.size() - 1 + delay]++;
  }

  void SpendAll(int aRouter) {
    Router& router = mRouters[Index(aRouter)];
    while (router.mAllowance->TrySpend(mNow)) {
      RecordRetry();
      if (mDefect == Defect::kUnpaidRetries && mRandom.Chance(0.5)) {
        RecordRetry();
      }
    }
  }

  double ShareOf(const Control& aControl) const {
    if (mDefect != Defect::kSharesGrowAtOnce) {
      return aControl.mShare->Value(mNow);
    }
    const auto running = std::count_if(
        mControls.begin(), mControls.end(),
        [this](const Control& aItem) { return IsRunning(aItem); });
    return 1.0 / static_cast<double>(running);
  }

  /// Asks any control that it reaches.
  void Ask(int aRouter) {
    Router& router = mRouters[Index(aRouter)];
    if (router.mAskedAt >= 0 && mNow - router.mAskedAt < kAskTimeout) {
      return;
    }
    const int number = mRandom.Below(static_cast<int>(mControls.size()));
    Control& control = mControls[Index(number)];
    if (!IsRunning(control) || mNow < mCutUntil[{aRouter, number}]) {
      return;
    }
    router.mAskedAt = mNow;
    const int granted = control.mPool->Grant(kWanted, ShareOf(control), mNow);
    // Late answers come together, when a stalled link recovers.
    const bool isLate = mTroubles.mLinks && mRandom.Chance(0.5);
    const Millis delay =
        isLate ? kStallPeriod - mNow % kStallPeriod : mRandom.Time(2 * kStep);
    mAnswers.push_back(
        {aRouter, router.mIncarnation, mNow, mNow + delay, granted});
  }

  void DeliverAnswers() {
    std::erase_if(mAnswers, [this](const Answer& aAnswer) {
      Router& router = mRouters[Index(aAnswer.mRouter)];
      if (mNow < aAnswer.mArrivesAt || mNow < router.mFrozenUntil) {
        return false;
      }
      if (IsRunning(router) && aAnswer.mIncarnation == router.mIncarnation) {
        const bool fromArrival = mDefect == Defect::kCreditsFromArrival;
        router.mAllowance->AddCredits(aAnswer.mGranted,
                                      fromArrival ? mNow : aAnswer.mAskedAt);
        router.mAskedAt = -1;
      }
      return true;
    });
  }

  PlayRandom mRandom;
  Troubles mTroubles;
  Defect mDefect;
  std::vector<Router> mRouters;
  std::vector<Control> mControls;
  /// By router and control.
  std::map<std::pair<int, int>, Millis> mCutUntil;
  std::vector<Answer> mAnswers;
  Millis mNow = 0;
  /// Whether all ask for all, or nobody for anything, and until when.
  bool mWants = false;
  Millis mTurnsAt = 0;
  double mPerStep = 1;         ///< Requests.
  std::vector<int> mRequests;  ///< By step.
  /// By the step in which they reach an upstream.
  std::vector<int> mRetries =
      std::vector<int>((kPlayed + kMaxRetrySendDelay) / kStep + 1, 0);
};

/// Plays all seeds.
void CheckLimit(Troubles aTroubles) {
  double most = -kSlack;
  unsigned worst = 0;
  int spent = 0;
  for (unsigned seed = 1; seed <= kPlays; seed++) {
    Play play(seed, aTroubles);
    play.Run();
    spent += play.Spent();
    if (play.MostOver() > most) {
      most = play.MostOver();
      worst = seed;
    }
  }
  CHECK_FOUND(most <= 0,
              std::to_string(most) + " over, seed " + std::to_string(worst));
  // Without retries the check would prove nothing.
  CHECK_FOUND(spent > kPlays * static_cast<int>(kSlack), std::to_string(spent));
}

bool IsDetected(Defect aDefect, Troubles aTroubles) {
  for (unsigned seed = 1; seed <= kPlays; seed++) {
    Play play(seed, aTroubles, aDefect);
    play.Run();
    if (play.MostOver() > 0) {
      return true;
    }
  }
  return false;
}

}  // namespace

// Slices forgot what was spent at their end a tenth of the window too early.
Test(retry_limit_fuzz, holds_without_any_trouble) {
  CheckLimit({});
}

// Each start of a router added a part of its own.
Test(retry_limit_fuzz, holds_while_routers_are_killed_in_series) {
  CheckLimit({.mRouters = true});
}

// Another control took over the part of one that ended, with what was granted.
Test(retry_limit_fuzz, holds_while_controls_are_killed_in_series) {
  CheckLimit({.mControls = true});
}

// Grants that arrived late were spent after control had forgotten them.
Test(retry_limit_fuzz, holds_while_answers_are_late_and_links_are_cut) {
  CheckLimit({.mLinks = true});
}

Test(retry_limit_fuzz, holds_in_all_troubles_together) {
  CheckLimit(
      {.mRouters = true, .mControls = true, .mLinks = true, .mVoters = true});
}

Test(retry_limit_fuzz, holds_while_voters_are_cut_off_and_replaced) {
  CheckLimit({.mVoters = true});
}

Test(retry_limit_fuzz, planted_defects_are_detected) {
  CHECK(IsDetected(Defect::kSharesGrowAtOnce, {.mControls = true}));
  CHECK(IsDetected(Defect::kStartsForgetGrants, {.mControls = true}));
  CHECK(IsDetected(Defect::kNewVotersDoNotWait, {.mVoters = true}));
  CHECK(IsDetected(Defect::kCreditsFromArrival, {.mLinks = true}));
  CHECK(IsDetected(Defect::kUnpaidRetries, {}));
}
