/// Plays many routers that choose paths of engines and hear of each other's
/// choices late: engines, requests and news in simulated time, without sockets.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "spindleweir/servers/routing/path_choice.h"

namespace spindleweir {

/// The way that routers choose.
enum class ChoiceRule {
  kCheapest,   ///< The cheapest path by the loads that are known.
  kPathChoice  ///< PathChoice.
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
};

/// What callers got.
struct ChoicePlayResult {
  int mRequests = 0;
  int mRefused = 0;      ///< By an engine, or for want of a path.
  double mFirstP95 = 0;  ///< Milliseconds to the first token.
  double mTokenP95 = 0;  ///< Milliseconds between tokens, mean of a request.
  double mBusiest = 0;   ///< Work of the busiest engine, of the mean.
  double mChoiceMicros = 0;  ///< Processor time of a choice.

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
