/// Plays many routers that choose paths of engines and hear of each other's
/// choices late: engines, requests and news in simulated time, without sockets.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "spindleweir/servers/routing/engine_slowdowns.h"
#include "spindleweir/servers/routing/path_chooser.h"
#include "spindleweir/servers/routing/path_timing.h"

namespace spindleweir {

/// The way that routers choose.
enum class ChoiceRule {
  kCheapest,   ///< The cheapest path by the loads that are known.
  kPathChoice  ///< PathChooser.
};

/// What routers do about engines that they judge slow.
enum class PaceRule {
  kNone,   ///< Nothing.
  kCost,   ///< They are as much dearer as they are slower.
  kEject,  ///< They are left out, half of a zone at most.
  kBoth
};

/// Engines that turn slow, and are well again.
struct SlowEngines {
  double mShare = 0;  ///< Of all.
  double mTimes = 1;  ///< As long as before.
  Millis mFrom = 0;
  Millis mFor = 0;
};

/// Engines of one kind in one zone.
struct EngineGroup {
  std::string mZone;
  std::string mKind;
  int mCount = 0;
};

struct ChoicePlayOptions {
  EngineProfile mProfile;
  std::vector<EngineGroup> mGroups;
  int mRouters = 1;  ///< Dealt to the zones in turn.
  double mRequestsPerSecond = 1;
  Millis mNewsAge = 0;  ///< Of the loads of others.
  Millis mLength = 20000;
  unsigned mSeed = 1;
  ChoiceRule mRule = ChoiceRule::kPathChoice;
  SlowEngines mSlow;
  PaceRule mPaceRule = PaceRule::kCost;
  /// What callers want of a stream, and the tokens of an event.
  StreamTargets mAim{.mFirstEvent = 500, .mPause = 250};
  double mEventTokens = 3;
};

/// What callers got.
struct ChoicePlayResult {
  int mRequests = 0;
  int mRefused = 0;      ///< By an engine, or for want of a path.
  double mFirstP95 = 0;  ///< Milliseconds to the first token.
  double mTokenP95 = 0;  ///< Milliseconds between tokens, mean of a request.
  double mBusiest = 0;   ///< Work of the busiest engine, of the mean.
  double mChoiceMicros = 0;  ///< Processor time of a choice.
  int mBegunSlow = 0;        ///< Requests begun while engines were slow.
  int mLateSlow = 0;         ///< Those that were late or refused.
  int mBegunAfter = 0;       ///< Requests begun after it.
  int mLateAfter = 0;
  int mFalseAlarms = 0;  ///< Judgements that a sound engine is slow.
  int mQuestions = 0;    ///< For engines' own word.
  /// Work that the engines that were slow got of all, from two seconds after
  /// they are well again.
  double mBackShare = 0;

  double LateShare() const {
    return mBegunSlow == 0 ? 0 : static_cast<double>(mLateSlow) / mBegunSlow;
  }
  double LateShareAfter() const {
    return mBegunAfter == 0 ? 0 : static_cast<double>(mLateAfter) / mBegunAfter;
  }

  double RefusedShare() const {
    return mRequests == 0 ? 0 : static_cast<double>(mRefused) / mRequests;
  }
};

/// Engines with the layers that the product's own planner gives them.
std::vector<UpstreamRecord> PlacedEngines(
    const EngineProfile& aProfile, const std::vector<EngineGroup>& aGroups);

ChoicePlayResult PlayChoices(const ChoicePlayOptions& aOptions);

/// A fleet with the cards of a large deployment: five zones, 190 engines of
/// three kinds, each zone with the weights several times.
ChoicePlayOptions LargeFleet();

}  // namespace spindleweir
