/// Chooses the engines for a request: the cheapest path over the layers, within
/// the capacity of each engine.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "spindleweir/servers/engines/engine_model.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// One stage of a path: an engine and the layers that it runs.
struct PathStage {
  std::string mInstance;
  std::string mAddress;
  LayerRange mLayers;

  bool operator==(const PathStage&) const = default;
};

using LayerPath = std::vector<PathStage>;

/// The known load of one engine.
struct EngineLoad {
  double mRequests = 0;
  double mTokenLayers = 0;         ///< Memory reserved for them.
  double mFirstStageRequests = 0;  ///< Requests that begin at it.
  double mPrefillTokenLayers = 0;  ///< Prefill work not done yet.
  double mSlowdown = 1;            ///< Time relative to its model.
};

/// Input of the path search.
struct PathQuery {
  const EngineProfile* mProfile = nullptr;
  std::string mZone;             ///< Of the router or the preceding engine.
  bool mStartsAtEngine = false;  ///< It continues from an engine.
  bool mMayCrossZones = true;    ///< Between two engines.
  double mTokens = 0;            ///< Prompt and expected answer.
  double mPrefillTokens = 0;     ///< Of the first prefill.
  double mAnswerTokens = 0;      ///< Expected.
  std::vector<const UpstreamRecord*> mEngines;
  /// Share of the zone's engines that mEngines has; see EngineSample.
  double mSampleShare = 1;
  std::function<EngineLoad(const std::string&)> mLoadOf;
  /// Engines that must not be used, by instance.
  std::set<std::string> mExcludedEngines;
  /// Engines at which no path may begin, by instance.
  std::set<std::string> mExcludedFirstStages;
  /// Random source for cost jitter, 0 to 1; may be empty.
  std::function<double()> mRandom;
  /// Maximum random addition to an engine's cost, as a share of it. It spreads
  /// simultaneous choices, since routers do not see each other's latest ones.
  double mCostJitter = 0.2;
  /// The layers that the path must cover; both 0: all.
  LayerRange mLayers;
  /// Share of an engine's memory that may be reserved.
  double mMaxFill = 0.95;
};

/// The chosen path with its estimated cost.
struct PathResult {
  LayerPath mPath;              ///< Empty: no path was found.
  double mCost = 0;             ///< Total milliseconds by the model.
  int mZoneCrossings = 0;       ///< Transitions between zones.
  bool mLacksRoom = false;      ///< Paths exist, but all are full.
  bool mDrawnByWeight = false;  ///< Instead of by least cost.
};

PathResult ChoosePath(const PathQuery& aQuery);

/// Number of requests of the query's size that fit on a path at the known
/// loads: the minimum over the memory of its stages and the slots of its first
/// engine.
double RequestCapacityLeft(const PathQuery& aQuery, const LayerPath& aPath);

}  // namespace spindleweir
