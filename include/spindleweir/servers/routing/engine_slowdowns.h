/// Detects slow engines from the delays of streams and from the engines' own
/// reports. Routers poll only suspected engines for a report, and share the
/// result with all routers in the load reports.
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

/// Thresholds, poll limits and lifetimes of slowdown detection.
struct EngineSlowdownOptions {
  /// An engine is slow from this slowdown factor on. The model itself is off by
  /// up to a third under load, and a path of eight stages keeps to typical
  /// pauses with one stage at this factor.
  double mSlowThreshold = 1.5;
  /// Lifetime of an engine's report and of the reports of peers about it.
  Millis mReportLifetime = 1500;
  /// A local report younger than this takes precedence over peer reports, which
  /// are half a second to a second old. After this time a slow engine is polled
  /// again.
  Millis mRepollDelay = 700;
  /// Maximum age of peer reports on arrival.
  Millis mPeerReportAge = 1000;
  /// An engine's report describes a state at most this long ago. It does not
  /// contradict streams that blame the engine since then.
  Millis mReportLag = 500;
  /// Without a new report the slowdown factor decays to 1 over this time. The
  /// engine's cost falls gradually, so that it gets few requests at first.
  Millis mFadeDuration = 1000;
  /// An engine that reports normal speed is not polled by the same router for
  /// this time, doubled each time up to mMaxPollBackoff: load and slow links
  /// can delay streams for a long time, and each poll is charged like a probe.
  Millis mPollBackoff = 240;
  Millis mMaxPollBackoff = 8000;
  /// Poll allowance of a router: its maximum, its gain per second, and its gain
  /// for each slow engine found. If one engine is slow, others may be slow too,
  /// and the search continues as long as one in three polls finds one. This
  /// bounds the polls that false alarms cause: 18 per second for 35 routers.
  double mPollBurst = 12;
  double mPollsPerSecond = 0.5;
  double mPollsPerSlowEngine = 3;
  /// Number of late streams that must blame the same engine, with all their
  /// other stages cleared, before it counts as slow without a report of its
  /// own.
  int mMinBlamingStreams = 3;
  Millis mBlameLifetime = 1000;
  /// Slowdown factor assumed in that case: streams show which engine is slow
  /// but hardly by how much.
  double mBlamedSlowdown = 4;
};

/// The evidence on which a slowdown is based.
enum class SlowdownSource {
  kReport,   ///< The engine's report to this router.
  kPeers,    ///< Its reports to other routers.
  kStreams,  ///< Late streams that share the engine.
};

/// A change of an engine between slow and normal.
struct SlowdownChange {
  std::string mInstance;
  bool mIsSlow = false;
  double mSlowdown = 1;
  SlowdownSource mSource = SlowdownSource::kReport;
  Millis mReportAge = -1;  ///< Of its report to this router; -1: none.
  int mReporters = 0;      ///< Peers that report it as slow.
  int mLateStreams = 0;    ///< Late streams that blame it.
};

/// The slowdown factors of engines as one router knows them: how many times as
/// long an engine takes as its model predicts; 1 is normal. Makes decisions
/// only and takes the current time with each call.
class EngineSlowdowns {
 public:
  explicit EngineSlowdowns(EngineSlowdownOptions aOptions = {})
      : mOptions(aOptions) {}

  /// Records that an event expected since aFrom arrived in time on this path.
  void RecordOnTime(std::span<const std::string> aPath, Millis aFrom);
  /// Records that an event expected since aFrom is late. Engines that were
  /// cleared after aFrom are not suspected; none is if the path has an engine
  /// that is known to be slow.
  void RecordLate(std::span<const std::string> aPath, Millis aFrom,
                  Millis aNow);

  /// Returns the engines that this router should poll for a report now and
  /// records them as polled. aRouters: number of routers that share the polls
  /// of known slow engines. aRandom: returns 0 to 1.
  std::vector<std::string> EnginesToPoll(
      Millis aNow, int aRouters, const std::function<double()>& aRandom);
  /// Applies an engine's report of its own slowdown factor.
  void OnEngineReport(const std::string& aInstance, double aSlowdown,
                      Millis aNow);
  /// Applies the current reports of other routers. For an engine that they no
  /// longer mention, their last report stays valid for its lifetime.
  void ApplyPeerReports(const LoadShares& aPeerLoads, Millis aNow);
  /// Adds this router's reports for its peers to aLoads.
  void AddReports(LoadShares& aLoads, Millis aNow) const;

  /// Re-evaluates all engines and returns the changes. To be called every few
  /// dozen milliseconds and after new reports.
  std::vector<SlowdownChange> Evaluate(Millis aNow);
  /// Current slowdown factor of an engine; 1: normal.
  double SlowdownOf(const std::string& aInstance) const;
  /// Increases with each significant change of a slowdown factor.
  std::int64_t Revision() const { return mRevision; }
  /// Slow engines with their slowdown factors.
  const std::map<std::string, double>& SlowEngines() const {
    return mSlowEngines;
  }
  /// Drops all that is stored about an instance.
  void Forget(const std::string& aInstance);
  /// Drops all instances for which aIsGone returns true.
  void ForgetIf(const std::function<bool(const std::string&)>& aIsGone);
  /// Number of instances with stored state.
  std::size_t TrackedEngines() const { return mEngines.size(); }

 private:
  /// State of one engine.
  struct Engine {
    /// Start of the latest wait for an event that arrived in time; -1: none.
    Millis mClearedFrom = -1;
    Millis mPolledAt = -1;
    Millis mReportedAt = -1;
    double mReportedSlowdown = 1;
    Millis mNoPollUntil = -1;
    Millis mPollBackoff = 0;
    int mLateStreams = 0;  ///< Since it was polled or cleared.
    int mBlames = 0;
    Millis mBlamedFrom = -1;
    Millis mBlamedAt = -1;
    Millis mRecoveredAt = -1;  ///< Recovery reported here or by a peer.
    bool mHasRecovered =
        false;  ///< Its last normal report ended a slow period.
  };

  /// A candidate for a poll; the greatest is polled first.
  struct Suspect {
    bool mIsSecondPoll = false;  ///< It was polled within kSecondPollWindow.
    double mLateStreams = 0;     ///< Plus a random tie-breaker.
    std::string mInstance;

    // clang-tidy 14 takes the default for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Suspect&) const = default;
  };

  /// Combined report of other routers about one engine.
  struct PeerReport {
    double mSlowdown = 1;
    int mReporters = 0;
    Millis mReceivedAt = 0;
  };

  /// Whether its own valid report or a peer report says that it is slow.
  bool IsKnownSlow(const std::string& aInstance, const Engine& aEngine,
                   Millis aNow) const;
  /// Whether enough streams blame it since the time its report describes.
  bool IsBlamed(const Engine& aEngine) const;
  bool HasSlowReport(const Engine& aEngine, Millis aNow) const;
  /// The slowdown factor after its decay, which begins at age aLifetime.
  double FadedSlowdown(double aSlowdown, Millis aAge, Millis aLifetime) const;
  SlowdownChange EvaluateEngine(const std::string& aInstance,
                                const Engine& aEngine, Millis aNow) const;
  int ReportersOf(const std::string& aInstance) const;
  /// Whether a known slow engine should be polled again now.
  bool IsRepollDue(const Engine& aEngine, Millis aNow, int aRouters,
                   const std::function<double()>& aRandom) const;
  /// Adds to aPolled the suspects that the allowance suffices for.
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

/// Name of the source in log lines.
const char* NameOf(SlowdownSource aSource);

}  // namespace spindleweir
