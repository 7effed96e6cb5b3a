/// Decides whether a request may run although upstreams crashed under parts of
/// its prompt, as one router sees it. Parts that were ever answered are
/// believed until crashes have followed each other without an answer; others
/// are tried one request at a time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/servers/limits/crash_ledger.h"
#include "spindleweir/servers/limits/recent_times.h"

namespace spindleweir {

/// What may be done with a request because of its parts. A later value takes
/// precedence over an earlier one.
enum class PartDecision {
  kRun,
  kTry,   ///< Run it as a trial: no other request with the part meanwhile.
  kWait,  ///< Another trial of the part is under way or comes first.
  kBarred,
};

/// How suspected and barred parts are tried.
struct PartWatchOptions {
  /// Excuses of other routers arrive within this time: two polls of control and
  /// one between controls.
  Millis mExcuseTime = 1000;
  /// The router that observed the last crash tries a suspected part again after
  /// this time, in which word of other crashes and of answers arrives.
  Millis mTrialDelay = 400;
  /// The others wait longer, each for a time of its own up to twice this one.
  Millis mOthersTrialDelay = 1500;
  /// A barred part is tried by that router only; the delay is multiplied with
  /// each trial that fails.
  Millis mBarredTrialDelay = 30 * 1000;
  Millis mBarredTrialFactor = 4;
  /// Trials of a barred part. More would end as many upstreams.
  std::size_t mMaxBarredTrials = 3;
  std::size_t mMaxAnsweredParts = 1024;
  /// A router that has seen answers for less than this time can't tell a new
  /// part from one that all requests have: it holds none up.
  Millis mLearningTime = 2000;
  std::size_t mMaxWaiting = 32;  ///< Requests.
};

/// One per router.
class PartWatch {
 public:
  /// Whether an attempt with the part was lost a moment ago, and it isn't known
  /// yet whether its upstream crashed.
  using PendingHook =
      std::function<bool(const std::string& aPart, Millis aNow)>;

  PartWatch(CrashLedger& aLedger, std::string aObserver, PendingHook aIsPending,
            PartWatchOptions aOptions = {});

  /// Calls aCall whenever this router has seen what other routers wait for: a
  /// crash under a part that was never answered, or the first answer of a part
  /// that is suspected.
  void OnNews(std::function<void()> aCall) { mOnNews = std::move(aCall); }

  /// The name of this router in crash records.
  const std::string& Observer() const { return mObserver; }
  PartDecision Decide(std::span<const std::string> aParts, Millis aNow) const;
  /// Whether one of the parts was never answered, as far as is known here.
  bool HasUnproven(std::span<const std::string> aParts) const;
  /// Whether the part was ever answered, as far as is known here.
  bool IsProven(const std::string& aPart) const;

  /// A request begins to wait, because of kWait. False: too many wait already.
  /// aRequest: any name of it; each call that returns true needs one of
  /// OnWaitEnded.
  bool OnWaitStarted(const void* aRequest, std::span<const std::string> aParts,
                     Millis aNow);
  void OnWaitEnded(const void* aRequest);
  /// A request begins as a trial of its parts; each call needs one of
  /// OnTrialEnded.
  void OnTrialStarted(std::span<const std::string> aParts);
  void OnTrialEnded(std::span<const std::string> aParts);
  /// An upstream began to write an answer at aBegunAt and stayed up.
  void OnAnswered(std::span<const std::string> aParts, Millis aBegunAt,
                  Millis aNow);
  /// This router recorded a crash under the part.
  void OnCrashRecorded(const std::string& aPart, Millis aNow);
  /// Excuses a part, about which another process sent a record, by the answers
  /// known here.
  void OnPeerRecord(const std::string& aPart, Millis aNow);

 private:
  /// What is decided about.
  struct Prompt {
    std::span<const std::string> mParts;
    std::size_t mSuspects = 0;  ///< See SuspectsOf; 0 if nobody waits.
  };

  PartDecision DecideOne(const std::string& aPart, const Prompt& aPrompt,
                         Millis aNow) const;
  /// Decides about a part that crashes were seen under, but not enough.
  PartDecision DecideSuspect(const std::string& aPart, const Prompt& aPrompt,
                             const OpenCrash& aLastCrash, Millis aNow) const;
  /// Decides about a part whose last trials all ended in crashes.
  PartDecision DecideBarred(const std::string& aPart,
                            const OpenCrash& aLastCrash, std::size_t aRounds,
                            Millis aNow) const;
  bool IsLearning(Millis aNow) const;
  bool IsBusy(const std::string& aPart, Millis aNow) const;
  /// The parts that were never answered and that a crash was seen under.
  std::set<std::string> SuspectsOf(std::span<const std::string> aParts,
                                   Millis aNow) const;
  /// Whether a request waits that has this part and fewer suspects: its outcome
  /// tells more.
  bool IsNarrowerWaiting(const std::string& aPart, const Prompt& aPrompt) const;
  /// How long after a crash this router waits if another one observed it.
  Millis OthersDelay(const OpenCrash& aCrash) const;

  CrashLedger& mLedger;
  std::string mObserver;
  PendingHook mIsPending;
  PartWatchOptions mOptions;
  std::function<void()> mOnNews;
  RecentTimes mAnsweredAt;  ///< Begin of the latest answer, by part.
  std::optional<Millis> mFirstAnswerAt;
  std::map<std::string, int> mTrials;  ///< Under way, by part.
  /// Suspects of the waiting requests.
  std::map<const void*, std::set<std::string>> mWaiting;
};

}  // namespace spindleweir
