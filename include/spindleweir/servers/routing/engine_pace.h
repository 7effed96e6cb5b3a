/// Which engines are slow: judged by the delays of streams and by the engines'
/// own reports, which are asked for only where there is suspicion and shared
/// with all routers in the loads.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/routing/load_book.h"

namespace spindleweir {

/// How suspicion is followed and how long a judgement holds.
struct EnginePaceOptions {
  /// An engine that takes so many times as long as its model says is slow: the
  /// model itself is off by up to a third under load, and paths of eight parts
  /// bear one part at this pace within the usual pauses.
  double mSlowFrom = 1.5;
  /// An engine's report, and what others tell of it, holds for so long.
  Millis mReportHolds = 1500;
  /// A report that is newer goes before what others tell, which is half a
  /// second to a second old; from then on an engine that is judged slow is
  /// asked again.
  Millis mAskAgain = 700;
  /// What others tell is so old, at most.
  Millis mNewsAge = 1000;
  /// An engine's report tells how it was so long ago, at most: streams that
  /// blame it since are not contradicted by it.
  Millis mReportLag = 500;
  /// Without a new report a judgement fades over this time: the engine comes
  /// back by few requests first, as its cost falls.
  Millis mFade = 1000;
  /// An engine that says it is well isn't asked for so long by the same
  /// router; doubled each time up to mMostQuiet. Load and slow links make
  /// streams late for long, and each question is priced like a probe.
  Millis mQuiet = 240;
  Millis mMostQuiet = 8000;
  /// Questions that a router may ask at once, and gets each second, and gets
  /// for each slow engine that one finds: where one is slow others may be, and
  /// one in three that are asked pays for the search. So false alarms alone are
  /// bounded: 35 routers ask 18 questions a second.
  double mBurst = 12;
  double mPerSecond = 0.5;
  double mFound = 3;
  /// Late streams that must blame the same engine, all their other parts being
  /// cleared, before it is judged by streams alone: where it gives no report.
  int mWitnesses = 3;
  Millis mBlameHolds = 1000;
  /// What such a judgement counts as: streams tell who is slow, hardly how.
  double mBlamedPace = 4;
};

/// How an engine came to be judged.
enum class PaceSource {
  kReport,   ///< It reported so to this router.
  kNews,     ///< It said so to other routers.
  kStreams,  ///< Late streams have it in common.
};

/// An engine that is judged slow, or well again.
struct PaceChange {
  std::string mInstance;
  bool mSlow = false;
  double mPace = 1;
  PaceSource mSource = PaceSource::kReport;
  Millis mReportAge = -1;  ///< Of its report here; -1: none.
  int mTellers = 0;        ///< Other routers that say so.
  int mLate = 0;           ///< Late streams through it that blamed it.
};

/// The paces as one router knows them. Decisions only: the time comes with
/// each call.
class EnginePaces {
 public:
  explicit EnginePaces(EnginePaceOptions aOptions = {}) : mOptions(aOptions) {}

  /// An event that was waited for from aFrom on came in time by this path.
  void RecordOnTime(std::span<const std::string> aPath, Millis aFrom);
  /// One that was waited for from aFrom on is late. What was cleared since
  /// isn't suspected, nor is anything where a part is known to be slow.
  void RecordLate(std::span<const std::string> aPath, Millis aFrom,
                  Millis aNow);

  /// The engines that this router should ask for a report now. They count as
  /// asked. aRouters: that share the questions to known slow engines.
  /// aRandom: 0 to 1.
  std::vector<std::string> ToAsk(Millis aNow, int aRouters,
                                 const std::function<double()>& aRandom);
  /// What an engine said of itself, over 1 being slow.
  void TakeReport(const std::string& aInstance, double aPace, Millis aNow);
  /// What other routers tell now. An engine of which they tell nothing any more
  /// keeps what they told last for as long as a report holds.
  void TakeNews(const LoadShares& aOthers, Millis aNow);
  /// Adds what this router tells the others.
  void Tell(LoadShares& aLoads, Millis aNow) const;

  /// Judges anew; returns what changed. To be called every few dozen
  /// milliseconds, and after reports and news.
  std::vector<PaceChange> Judge(Millis aNow);
  /// Times that an engine takes as long as its model says, as judged; 1: well.
  double PaceOf(const std::string& aInstance) const;
  /// Grows whenever a judgement changes.
  std::int64_t Revision() const { return mRevision; }
  /// Engines judged slow, with their paces.
  const std::map<std::string, double>& Slow() const { return mSlow; }
  /// Nothing known of an instance holds any more.
  void Forget(const std::string& aInstance);
  /// The same of all instances of which aIsGone says so.
  void ForgetAll(const std::function<bool(const std::string&)>& aIsGone);
  /// Instances of which something is kept.
  std::size_t Known() const { return mEngines.size(); }

 private:
  /// What is known of one engine.
  struct Engine {
    Millis mClearedFrom =
        -1;  ///< An event waited for from here on was on time.
    Millis mAskedAt = -1;
    Millis mReportedAt = -1;
    double mReportedPace = 1;
    Millis mQuietUntil = -1;
    Millis mQuiet = 0;
    int mSuspicion = 0;  ///< Late streams since it was asked or cleared.
    int mBlames = 0;
    Millis mBlamedFrom = -1;
    Millis mBlamedAt = -1;
    Millis mWellAt = -1;    ///< Heard to be well again, after it was slow.
    bool mWasSlow = false;  ///< When it said that it is well.
  };

  /// An engine that may be asked; the greatest is asked first.
  struct Suspect {
    bool mIsSecond = false;  ///< It was asked a moment ago.
    double mSuspicion = 0;   ///< Late streams, and chance.
    std::string mInstance;

    // clang-tidy 14 takes the default for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Suspect&) const = default;
  };

  /// What other routers say of one engine.
  struct News {
    double mPace = 1;
    int mTellers = 0;
    Millis mHeardAt = 0;
  };

  /// Whether it says, or others tell, that it is slow.
  bool IsKnownSlow(const std::string& aInstance, const Engine& aEngine,
                   Millis aNow) const;
  /// Whether streams blame it since the time that its report is about.
  bool IsBlamed(const Engine& aEngine) const;
  bool HoldsSlowReport(const Engine& aEngine, Millis aNow) const;
  /// A pace that fades once it is older than it holds.
  double Faded(double aPace, Millis aAge, Millis aHolds) const;
  PaceChange JudgeOne(const std::string& aInstance, const Engine& aEngine,
                      Millis aNow) const;
  int TellersOf(const std::string& aInstance) const;
  /// Whether an engine known to be slow should be asked again now.
  bool IsDueAgain(const Engine& aEngine, Millis aNow, int aRouters,
                  const std::function<double()>& aRandom) const;
  /// Adds those that the allowance is enough for to aAsked.
  void AskSuspects(std::vector<Suspect> aSuspects, Millis aNow,
                   std::vector<std::string>& aAsked);
  void TakeSlowReport(const std::string& aInstance, double aPace, Millis aNow);
  void TakeWellReport(const std::string& aInstance, double aPace, Millis aNow);
  void Refill(Millis aNow);

  EnginePaceOptions mOptions;
  std::map<std::string, Engine> mEngines;
  std::map<std::string, News> mNews;
  std::map<std::string, double> mSlow;
  double mAllowance = 0;
  Millis mRefilledAt = -1;
  std::int64_t mRevision = 0;
};

/// The source as log lines name it.
const char* NameOf(PaceSource aSource);

}  // namespace spindleweir
