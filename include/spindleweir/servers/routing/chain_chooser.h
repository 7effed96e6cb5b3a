/// Chooses the chain of engines for a request: the cheapest path over layer
/// boundaries.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// An engine that a chain may use.
struct ChainCandidate {
  std::string mEngine;
  std::string mZone;
  std::string mAccelerator;
  std::string mModel;
  std::string mVersion;
  int mFirst = 0;
  int mLast = 0;
  double mWaitMillis = 0;   ///< Expected wait for a batch slot.
  double mStepMillis = 0;   ///< Time of one step.
  double mSavedMillis = 0;  ///< Prefill saved by a cached prefix.
  bool mUsable = true;      ///< Neither leaving, nor ejected, nor loading.
};

/// Requirements of a request.
struct ChainQuery {
  std::string mModel;
  std::string mVersion;
  int mLayers = 0;
  std::string mHomeZone;  ///< Of the router, which gets the tokens.
  std::span<const std::string> mZones;               ///< Allowed; empty: all.
  std::span<const std::string> mHardware;            ///< Allowed; empty: all.
  const std::set<std::string>* mExcluded = nullptr;  ///< Engines; optional.
  /// Milliseconds that one token takes from one zone to another.
  std::function<double(const std::string&, const std::string&)> mLinkMillis;
  /// Returns a random number in [0, 1) for cost jitter.
  std::function<double()> mRandom;
  /// Costs vary randomly by up to this share, so that routers with the same
  /// information do not all choose the same chain.
  double mCostJitter = 0.05;
};

/// Number of rejected candidates by reason, for the decision log line.
struct ChainRejections {
  int mOtherModel = 0;
  int mUnusable = 0;
  int mZone = 0;
  int mHardware = 0;
  int mExcluded = 0;
};

/// The chosen chain.
struct ChainChoice {
  std::vector<std::size_t> mStages;  ///< Indices into the candidates, in order.
  double mCostMillis = 0;
  int mConsidered = 0;
  ChainRejections mRejected;

  bool Found() const { return !mStages.empty(); }
};

/// The cheapest chain whose ranges tile [0, layers). Time: n log n in the
/// number of candidates, times the number of zones.
ChainChoice ChooseChain(std::span<const ChainCandidate> aCandidates,
                        const ChainQuery& aQuery);

}  // namespace spindleweir
