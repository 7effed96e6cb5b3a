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
#include "spindleweir/servers/routing/load_aggregator.h"

namespace spindleweir {

/// How suspicion is followed and how long a judgement holds.
struct EngineSlowdownOptions {
  /// An engine that takes so many times as long as its model says is slow: the
  /// model itself is off by up to a third under load, and paths of eight parts
  /// bear one part at this pace within the usual pauses.
  double mSlowThreshold = 1.5;
  /// An engine's report, and what others tell of it, holds for so long.
  Millis mReportLifetime = 1500;
  /// A report that is newer goes before what others tell, which is half a
  /// second to a second old; from then on an engine that is judged slow is
  /// asked again.
  Millis mRepollDelay = 700;
  /// What others tell is so old, at most.
  Millis mPeerReportAge = 1000;
  /// An engine's report tells how it was so long ago, at most: streams that
  /// blame it since are not contradicted by it.
  Millis mReportLag = 500;
  /// Without a new report a judgement fades over this time: the engine comes
  /// back by few requests first, as its cost falls.
  Millis mFadeDuration = 1000;
  /// An engine that says it is well isn't asked for so long by the same
  /// router; doubled each time up to mMaxPollBackoff. Load and slow links make
  /// streams late for long, and each question is priced like a probe.
  Millis mPollBackoff = 240;
  Millis mMaxPollBackoff = 8000;
  /// Questions that a router may ask at once, and gets each second, and gets
  /// for each slow engine that one finds: where one is slow others may be, and
  /// one in three that are asked pays for the search. So false alarms alone are
  /// bounded: 35 routers ask 18 questions a second.
  double mPollBurst = 12;
  double mPollsPerSecond = 0.5;
  double mPollsPerSlowEngine = 3;
  /// Late streams that must blame the same engine, all their other parts being
  /// cleared, before it is judged by streams alone: where it gives no report.
  int mMinBlamingStreams = 3;
  Millis mBlameLifetime = 1000;
  /// What such a judgement counts as: streams tell who is slow, hardly how.
  double mBlamedSlowdown = 4;
};

/// How an engine came to be judged.
enum class SlowdownSource {
  kReport,   ///< It reported so to this router.
  kPeers,    ///< It said so to other routers.
  kStreams,  ///< Late streams have it in common.
};

/// An engine that is judged slow, or well again.
struct SlowdownChange {
  std::string mInstance;
  bool mIsSlow = false;
  double mSlowdown = 1;
  SlowdownSource mSource = SlowdownSource::kReport;
  Millis mReportAge = -1;  ///< Of its report here; -1: none.
  int mReporters = 0;      ///< Other routers that say so.
  int mLateStreams = 0;    ///< Late streams through it that blamed it.
};

/// The paces as one router knows them. Decisions only: the time comes with
/// each call.
class EngineSlowdowns {
 public:
  explicit EngineSlowdowns(EngineSlowdownOptions aOptions = {})
      : mOptions(aOptions) {}

  /// An event that was waited for from aFrom on came in time by this path.
  void RecordOnTime(std::span<const std::string> aPath, Millis aFrom);
  /// One that was waited for from aFrom on is late. What was cleared since
  /// isn't suspected, nor is anything where a part is known to be slow.
  void RecordLate(std::span<const std::string> aPath, Millis aFrom,
                  Millis aNow);

  /// The engines that this router should ask for a report now. They count as
  /// asked. aRouters: that share the questions to known slow engines.
  /// aRandom: 0 to 1.
  std::vector<std::string> EnginesToPoll(
      Millis aNow, int aRouters, const std::function<double()>& aRandom);
  /// What an engine said of itself, over 1 being slow.
  void OnEngineReport(const std::string& aInstance, double aSlowdown,
                      Millis aNow);
  /// What other routers tell now. An engine of which they tell nothing any more
  /// keeps what they told last for as long as a report holds.
  void ApplyPeerReports(const LoadShares& aOthers, Millis aNow);
  /// Adds what this router tells the others.
  void AddReports(LoadShares& aLoads, Millis aNow) const;

  /// Judges anew; returns what changed. To be called every few dozen
  /// milliseconds, and after reports and news.
  std::vector<SlowdownChange> Evaluate(Millis aNow);
  /// Times that an engine takes as long as its model says, as judged; 1: well.
  double SlowdownOf(const std::string& aInstance) const;
  /// Grows whenever a judgement changes.
  std::int64_t Revision() const { return mRevision; }
  /// Engines judged slow, with their paces.
  const std::map<std::string, double>& SlowEngines() const {
    return mSlowEngines;
  }
  /// Nothing known of an instance holds any more.
  void Forget(const std::string& aInstance);
  /// The same of all instances of which aIsGone says so.
  void ForgetIf(const std::function<bool(const std::string&)>& aIsGone);
  /// Instances of which something is kept.
  std::size_t TrackedEngines() const { return mEngines.size(); }

 private:
  /// What is known of one engine.
  struct Engine {
    Millis mClearedFrom =
        -1;  ///< An event waited for from here on was on time.
    Millis mPolledAt = -1;
    Millis mReportedAt = -1;
    double mReportedSlowdown = 1;
    Millis mNoPollUntil = -1;
    Millis mPollBackoff = 0;
    int mLateStreams = 0;  ///< Late streams since it was asked or cleared.
    int mBlames = 0;
    Millis mBlamedFrom = -1;
    Millis mBlamedAt = -1;
    Millis mRecoveredAt = -1;    ///< Heard to be well again, after it was slow.
    bool mHasRecovered = false;  ///< When it said that it is well.
  };

  /// An engine that may be asked; the greatest is asked first.
  struct Suspect {
    bool mIsSecondPoll = false;  ///< It was asked a moment ago.
    double mLateStreams = 0;     ///< Late streams, and chance.
    std::string mInstance;

    // clang-tidy 14 takes the default for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Suspect&) const = default;
  };

  /// What other routers say of one engine.
  struct PeerReport {
    double mSlowdown = 1;
    int mReporters = 0;
    Millis mReceivedAt = 0;
  };

  /// Whether it says, or others tell, that it is slow.
  bool IsKnownSlow(const std::string& aInstance, const Engine& aEngine,
                   Millis aNow) const;
  /// Whether streams blame it since the time that its report is about.
  bool IsBlamed(const Engine& aEngine) const;
  bool HasSlowReport(const Engine& aEngine, Millis aNow) const;
  /// A pace that fades once it is older than it holds.
  double FadedSlowdown(double aSlowdown, Millis aAge, Millis aHolds) const;
  SlowdownChange EvaluateEngine(const std::string& aInstance,
                                const Engine& aEngine, Millis aNow) const;
  int ReportersOf(const std::string& aInstance) const;
  /// Whether an engine known to be slow should be asked again now.
  bool IsRepollDue(const Engine& aEngine, Millis aNow, int aRouters,
                   const std::function<double()>& aRandom) const;
  /// Adds those that the allowance is enough for to aPolled.
  void PollSuspects(std::vector<Suspect> aSuspects, Millis aNow,
                    std::vector<std::string>& aPolled);
  void OnSlowReport(const std::string& aInstance, double aSlowdown,
                    Millis aNow);
  void OnNormalReport(const std::string& aInstance, double aSlowdown,
                      Millis aNow);
  void RefillAllowance(Millis aNow);

  EngineSlowdownOptions mOptions;
  std::map<std::string, Engine> mEngines;
  std::map<std::string, PeerReport> mPeerReports;
  std::map<std::string, double> mSlowEngines;
  double mPollAllowance = 0;
  Millis mRefilledAt = -1;
  std::int64_t mRevision = 0;
};

/// The source as log lines name it.
const char* NameOf(SlowdownSource aSource);

}  // namespace spindleweir
