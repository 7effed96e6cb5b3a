/// Chooses the engines that a request passes: a cheapest path over the
/// layers, within what each engine has room for.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "spindleweir/servers/engines/engine_model.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// One part of a path.
struct PathStage {
  std::string mInstance;
  std::string mAddress;
  LayerRange mLayers;

  bool operator==(const PathStage&) const = default;
};

using LayerPath = std::vector<PathStage>;

/// What is known of the work at one engine.
struct EngineLoad {
  double mRequests = 0;
  double mTokenLayers = 0;         ///< Memory promised to them.
  double mFirstStageRequests = 0;  ///< Requests that have it as the first.
  double mPrefillTokenLayers = 0;  ///< Still to be read by it.
  double mSlowdown = 1;            ///< Times as long as its model says.
};

/// What a path is chosen by.
struct PathQuery {
  const EngineProfile* mProfile = nullptr;
  std::string mZone;  ///< Where the router, or the engine before, is.
  bool mStartsAtEngine = false;  ///< The path goes on from an engine.
  bool mMayCrossZones = true;    ///< From zone to zone between two engines.
  double mTokens = 0;            ///< Prompt and expected answer.
  double mPrefillTokens = 0;     ///< To be read at first.
  double mAnswerTokens = 0;      ///< Expected.
  std::vector<const UpstreamRecord*> mEngines;
  /// The part of its zone's engines that these are; see EngineSample.
  double mSampleShare = 1;
  std::function<EngineLoad(const std::string&)> mLoadOf;
  /// Engines that are not to be used, by instance.
  std::set<std::string> mExcludedEngines;
  /// Engines that no path may begin at, by instance.
  std::set<std::string> mExcludedFirstStages;
  /// Spreads requests that choose at the same moment; may be empty.
  std::function<double()> mRandom;
  /// By how much of its cost an engine may look dearer to one choice than to
  /// another: routers do not see each other's newest choices.
  double mCostJitter = 0.2;
  /// The layers to be passed; both 0: all.
  LayerRange mLayers;
  /// The share of an engine's room that may be promised.
  double mMaxFill = 0.95;
};

/// A path with what it is expected to take.
struct PathResult {
  LayerPath mPath;              ///< Empty: there is none.
  double mCost = 0;             ///< Milliseconds in all, by the model.
  int mZoneCrossings = 0;       ///< Times that it goes from zone to zone.
  bool mLacksRoom = false;      ///< There would be one but for room.
  bool mDrawnByWeight = false;  ///< By shares, not for its cost.
};

PathResult ChoosePath(const PathQuery& aQuery);

/// Requests of the question's size that a path has room for, by the loads that
/// are known: the least of the memory of its parts and the places of its first.
double RequestCapacityLeft(const PathQuery& aQuery, const LayerPath& aPath);

}  // namespace spindleweir
