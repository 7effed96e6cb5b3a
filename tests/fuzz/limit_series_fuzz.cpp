/// Fuzzing of a rate that an upstream advertises: over any series of kills,
/// freezes, cuts and moves of routers and kills of controls, however many in a
/// window, the routers that it told send it no more than it allows.
#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "spindleweir/servers/limits/advertised_limits.h"
#include "spindleweir/servers/limits/router_count.h"
#include "spindleweir/servers/routing/load_aggregator.h"
#include "tests/fuzz/play_random.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr int kRouters = 7;
constexpr int kControls = 3;
constexpr Millis kStep = 10;
constexpr Millis kPlayed = 60000;
constexpr Millis kWindow = 4000;
constexpr double kPerSecond = 2;
/// Of callers at all routers, so that all ask for more than their part.
constexpr double kRequestsPerSecond = 60;
constexpr Millis kAnswerTime = 30;
constexpr Millis kPollInterval = 250;
constexpr Millis kLoadsRetention = 2500;
constexpr Millis kCountRetention = 10000;
/// A control that starts tells the number of the run before for so long.
constexpr Millis kPreviousRunWindow = 3000;
/// Between two writes of a control's file of limits.
constexpr Millis kSaveInterval = 500;
/// Of a write with its syncs.
constexpr Millis kMaxWriteTime = 300;
constexpr Millis kDemandPeriod = 2000;
constexpr unsigned kPlays = 40;
const std::string kUpstream = "a";

/// What may happen to processes in a play.
struct Troubles {
  bool mRouters = false;   ///< Kills, restarts and freezes of routers.
  bool mControls = false;  ///< Kills of controls.
  bool mLinks = false;     ///< Cuts between routers and controls.
  bool mStops = false;     ///< Kills of all routers and controls together.
};

/// Faults that are built in, to see that the plays detect them.
enum class Defect {
  kNone,
  kControlsForgetLimits,  ///< Limits are known to running routers alone.
  kDisksForgetLimits,     ///< Limits are known to running processes alone.
};

/// An answer of the upstream on its way to a router.
struct Answer {
  int mRouter;
  int mIncarnation;
  Millis mBegunAt;
  Millis mArrivesAt;
};

struct Router {
  std::unique_ptr<AdvertisedLimits> mLimits;
  std::unique_ptr<RouterCount> mCount;
  LoadShares mPeers;
  Millis mLoadsAt = 0;  ///< When mPeers was received.
  std::int64_t mSequence = 0;
  int mIncarnation = 0;
  int mControl = 0;
  Millis mDownUntil = 0;
  Millis mFrozenUntil = 0;
  Millis mPollAt = 0;
  bool mIsReady = false;  ///< A control has answered.
  bool mWasTold = false;  ///< The upstream told this VM its limit.
  std::deque<Millis> mArrivals;
};

struct Control {
  std::unique_ptr<LoadAggregator> mLoads;
  Millis mStartedAt = 0;
  Millis mDownUntil = 0;
  std::unique_ptr<RouterCount> mRecentRouters;
  int mPreviousRouters = 0;  ///< As the run before knew them, on its disk.
  RecentLimits::Thousandths mFile;  ///< The limits on its disk.
  std::optional<RecentLimits::Thousandths> mWriting;  ///< To be the file.
  Millis mWrittenAt = 0;
  Millis mSaveAt = 0;
};

/// Routers that report their loads to controls, and one upstream that always
/// advertises its limit.
class Play {
 public:
  Play(unsigned aSeed, Troubles aTroubles, Defect aDefect = Defect::kNone)
      : mRandom(aSeed),
        mDiskRandom(aSeed),
        mTroubles(aTroubles),
        mDefect(aDefect) {
    for (int i = 0; i < kRouters; i++) {
      StartRouter(i);
    }
    for (Control& control : mControls) {
      StartControl(control, 0);
    }
  }

  void Run() {
    for (mNow = 0; mNow < kPlayed; mNow += kStep) {
      if (mNow > kWindow && mRandom.Chance(0.02)) {
        MakeTrouble();
      }
      DeliverAnswers();
      ExchangeLoads();
      for (Control& control : mControls) {
        SaveState(control);
      }
      for (int i = 0; i < kRouters; i++) {
        Poll(i);
      }
      const int count = mRandom.Count(kRequestsPerSecond * kStep / 1000);
      for (int i = 0; i < count; i++) {
        Send(mRandom.Below(kRouters));
      }
    }
  }

  int MostInWindow() const {
    int most = 0;
    for (auto first = mSent.begin(); first != mSent.end(); first++) {
      const auto last = std::upper_bound(first, mSent.end(), *first + kWindow);
      most = std::max(most, static_cast<int>(last - first));
    }
    return most;
  }

  double UsedFraction() const {
    return static_cast<double>(mSent.size()) * 1000 / (kPerSecond * kPlayed);
  }

 private:
  template <class Process>
  bool IsRunning(const Process& aProcess) const {
    return mNow >= aProcess.mDownUntil;
  }
  bool IsActive(const Router& aRouter) const {
    return IsRunning(aRouter) && mNow >= aRouter.mFrozenUntil;
  }

  void StartRouter(int aRouter) {
    Router& router = mRouters[Index(aRouter)];
    router.mIncarnation++;
    router.mSequence = 0;
    router.mIsReady = false;
    router.mPeers.clear();
    router.mArrivals.clear();
    router.mCount = std::make_unique<RouterCount>(
        RouterCountOptions{.mRetention = kCountRetention});
    router.mLimits = std::make_unique<AdvertisedLimits>(AdvertisedLimitsOptions{
        .mDemandOf =
            [this, aRouter](const std::string&) { return DemandOf(aRouter); },
        .mRandom = [this] { return mRandom.Real(); }});
  }

  void StartControl(Control& aControl, Millis aAt) {
    aControl.mStartedAt = aAt;
    LoadAggregatorOptions options;
    if (mDefect == Defect::kControlsForgetLimits) {
      options.mRecentLimits.mRetention = 0;
    }
    aControl.mLoads = std::make_unique<LoadAggregator>(options);
    aControl.mWriting.reset();
    aControl.mSaveAt = aAt + kSaveInterval;
    aControl.mRecentRouters =
        std::make_unique<RouterCount>(RouterCountOptions{});
    aControl.mRecentRouters->OnReport(aControl.mPreviousRouters, aAt);
    aControl.mLoads->RestoreLimits(aControl.mFile, aAt);
  }

  /// What a control stores for its next start. One that is killed during a
  /// write has the file of before.
  void SaveState(Control& aControl) {
    if (!IsRunning(aControl) || mDefect == Defect::kDisksForgetLimits) {
      return;
    }
    if (aControl.mWriting.has_value() && mNow >= aControl.mWrittenAt) {
      aControl.mFile = *std::exchange(aControl.mWriting, std::nullopt);
    }
    aControl.mRecentRouters->OnReport(RoutersKnownTo(aControl), mNow);
    const RecentLimits::Thousandths limits =
        aControl.mLoads->RememberedLimits().InForce();
    const bool isDue = mNow >= aControl.mSaveAt;
    if (isDue && !aControl.mWriting.has_value() && limits != aControl.mFile) {
      aControl.mWriting = limits;
      aControl.mWrittenAt = mNow + mDiskRandom.Time(kMaxWriteTime);
      aControl.mSaveAt = mNow + kSaveInterval;
    }
  }

  LimitDemand DemandOf(int aRouter) {
    Router& router = mRouters[Index(aRouter)];
    while (!router.mArrivals.empty() &&
           mNow - router.mArrivals.front() > kDemandPeriod) {
      router.mArrivals.pop_front();
    }
    LimitDemand demand{.mLocal = static_cast<double>(router.mArrivals.size()) *
                                 1000 / kDemandPeriod,
                       .mRouters = router.mCount->Value()};
    const auto it = router.mPeers.find(kUpstream);
    if (it != router.mPeers.end()) {
      demand.mPeersKnown = true;
      demand.mPeers = static_cast<double>(it->second.mDemandThousandths) / 1000;
    }
    return demand;
  }

  std::string ProcessOf(int aRouter) const {
    return "r" + std::to_string(aRouter) + "/" +
           std::to_string(mRouters[Index(aRouter)].mIncarnation);
  }

  void MakeTrouble() {
    const int kind = mRandom.Below(6);
    const Millis length = mRandom.Time(mRandom.Chance(0.3) ? 15000 : 2000);
    if (kind < 2 && mTroubles.mRouters) {
      const double share = mRandom.Chance(0.5) ? 0.9 : 0.1;
      for (int i = 0; i < kRouters; i++) {
        if (mRandom.Chance(share)) {
          KillRouter(i);
        }
      }
    }
    if (kind == 2 && mTroubles.mRouters) {
      mRouters[Index(mRandom.Below(kRouters))].mFrozenUntil = mNow + length;
    }
    if (kind == 3 && mTroubles.mControls) {
      KillControl(mControls[Index(mRandom.Below(kControls))], length);
    }
    if (kind == 4 && mTroubles.mLinks) {
      const double share = mRandom.Real();
      for (Millis& until : mCutUntil) {
        until = mRandom.Chance(share) ? mNow + length : until;
      }
    }
    if (kind == 5 && mTroubles.mStops) {
      for (Control& control : mControls) {
        KillControl(control, mRandom.Time(1000));
      }
      for (int i = 0; i < kRouters; i++) {
        KillRouter(i);
      }
    }
  }

  void KillControl(Control& aControl, Millis aLength) {
    aControl.mPreviousRouters = aControl.mRecentRouters->Value();
    aControl.mDownUntil = mNow + aLength;
    StartControl(aControl, aControl.mDownUntil);
  }

  void KillRouter(int aRouter) {
    mRouters[Index(aRouter)].mDownUntil = mNow + mRandom.Time(1000);
    StartRouter(aRouter);
  }

  void DeliverAnswers() {
    std::erase_if(mAnswers, [this](const Answer& aAnswer) {
      Router& router = mRouters[Index(aAnswer.mRouter)];
      if (mNow < aAnswer.mArrivesAt || mNow < router.mFrozenUntil) {
        return false;
      }
      router.mWasTold = true;
      if (IsRunning(router) && aAnswer.mIncarnation == router.mIncarnation) {
        (void)router.mLimits->OnAnswer(kUpstream, kPerSecond, aAnswer.mBegunAt,
                                       mNow);
      }
      return true;
    });
  }

  int RoutersKnownTo(Control& aControl) const {
    const bool isStarting = mNow - aControl.mStartedAt < kPreviousRunWindow;
    return isStarting && aControl.mPreviousRouters > 0
               ? aControl.mPreviousRouters
               : std::max(1, aControl.mLoads->AllRouters(mNow));
  }

  /// Controls tell each other the loads of their routers.
  void ExchangeLoads() {
    if (mNow % kPollInterval != 0) {
      return;
    }
    for (int from = 0; from < kControls; from++) {
      Control& source = mControls[Index(from)];
      for (int to = 0; to < kControls; to++) {
        Control& target = mControls[Index(to)];
        if (from == to || !IsRunning(source) || !IsRunning(target)) {
          continue;
        }
        target.mLoads->OnControlReport(
            std::to_string(from),
            UnpackLoads(source.mLoads->PackedLocal(mNow).mText),
            source.mLoads->LocalRouters(mNow), mNow);
        target.mLoads->OnControlRouters(
            std::to_string(from), source.mLoads->LocalRouterNumbers(mNow));
      }
    }
  }

  bool Reaches(int aRouter, int aControl) const {
    return IsRunning(mControls[Index(aControl)]) &&
           mNow >= mCutUntil[Index(aRouter * kControls + aControl)];
  }

  /// A router tells its loads to a control and is told those of all others.
  void Poll(int aRouter) {
    Router& router = mRouters[Index(aRouter)];
    if (!IsActive(router) || mNow < router.mPollAt) {
      return;
    }
    router.mPollAt = mNow + kPollInterval;
    if (mNow - router.mLoadsAt > kLoadsRetention) {
      router.mPeers.clear();
    }
    if (!Reaches(aRouter, router.mControl)) {
      router.mControl = mRandom.Below(kControls);
      return;
    }
    LoadShares own;
    router.mLimits->AddReport(own, mNow);
    Control& nearest = mControls[Index(router.mControl)];
    LoadAggregator& control = *nearest.mLoads;
    router.mIsReady = true;
    control.OnRouterReport(ProcessOf(aRouter), ++router.mSequence, own, mNow);
    LoadShares sum = UnpackLoads(
        control
            .PackedSum(
                "", [](const std::string&) { return std::string(); }, mNow)
            .mText);
    if (control.IncludedSequence(ProcessOf(aRouter)) == router.mSequence) {
      for (const auto& [instance, share] : own) {
        sum[instance].mInstance = instance;
        sum[instance].Add(share, -1);
      }
    }
    std::erase_if(sum, [](const auto& aItem) { return aItem.second.Empty(); });
    router.mCount->OnReport(RoutersKnownTo(nearest), mNow);
    router.mPeers = sum;
    router.mLoadsAt = mNow;
    router.mLimits->ApplyPeerReports(router.mPeers, mNow);
  }

  void Send(int aRouter) {
    Router& router = mRouters[Index(aRouter)];
    if (!IsActive(router) || !router.mIsReady) {
      return;
    }
    router.mArrivals.push_back(mNow);
    if (router.mLimits->HeldUpstreams(mNow).contains(kUpstream)) {
      return;
    }
    router.mLimits->OnRequestSent(kUpstream);
    if (router.mWasTold) {
      mSent.push_back(mNow);
    }
    mAnswers.push_back(
        {aRouter, router.mIncarnation, mNow, mNow + kAnswerTime});
  }

  PlayRandom mRandom;
  PlayRandom mDiskRandom;
  Troubles mTroubles;
  Defect mDefect;
  std::array<Router, kRouters> mRouters;
  std::array<Control, kControls> mControls;
  /// By router and control.
  std::array<Millis, kRouters * kControls> mCutUntil{};
  std::vector<Answer> mAnswers;
  Millis mNow = 0;
  std::vector<Millis> mSent;  ///< By routers that were told.
};

/// One and a half times the limit, and five, in each window.
constexpr int kAllowed =
    static_cast<int>(kPerSecond * kWindow * 1.5 / 1000) + 5;

/// Of the limit, over a play.
constexpr double kLeastUsed = 0.25;

void CheckLimit(Troubles aTroubles) {
  int most = 0;
  unsigned worst = 0;
  double used = 0;
  for (unsigned seed = 1; seed <= kPlays; seed++) {
    Play play(seed, aTroubles);
    play.Run();
    used += play.UsedFraction() / kPlays;
    if (play.MostInWindow() > most) {
      most = play.MostInWindow();
      worst = seed;
    }
  }
  CHECK_FOUND(most <= kAllowed, std::to_string(most) + " in a window, seed " +
                                    std::to_string(worst) + ", used " +
                                    std::to_string(used));
  // Without requests the check would prove nothing.
  CHECK_FOUND(used > kLeastUsed, std::to_string(used));
  std::printf("most %d, used %.2f\n", most, used);
}

bool IsDetected(Defect aDefect, Troubles aTroubles) {
  for (unsigned seed = 1; seed <= kPlays; seed++) {
    Play play(seed, aTroubles, aDefect);
    play.Run();
    if (play.MostInWindow() > kAllowed) {
      return true;
    }
  }
  return false;
}

}  // namespace

Test(limit_series_fuzz, holds_without_any_trouble) {
  CheckLimit({});
}

// What ended routers had been told was forgotten with them.
Test(limit_series_fuzz, holds_while_routers_are_killed_in_series) {
  CheckLimit({.mRouters = true});
}

Test(limit_series_fuzz, holds_while_controls_are_killed_in_series) {
  CheckLimit({.mControls = true});
}

Test(limit_series_fuzz, holds_while_routers_are_cut_off) {
  CheckLimit({.mLinks = true});
}

Test(limit_series_fuzz, holds_in_all_troubles_together) {
  CheckLimit({.mRouters = true, .mControls = true, .mLinks = true});
}

// A limit that no running process remembers is unknown until the next answer.
Test(limit_series_fuzz, holds_while_all_processes_are_killed_together) {
  CheckLimit({.mStops = true});
}

Test(limit_series_fuzz, planted_defects_are_detected) {
  CHECK(IsDetected(Defect::kControlsForgetLimits, {.mRouters = true}));
  CHECK(IsDetected(Defect::kDisksForgetLimits, {.mStops = true}));
}
