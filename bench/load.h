/// The load generator: callers that stream completions and check them.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bench/fleet.h"

namespace spindleweir {

/// What to send. A closed load keeps mConcurrent requests open; an open one
/// starts mRate requests a second whatever becomes of them.
struct LoadOptions {
  std::vector<Endpoint> mServers;
  std::vector<std::string> mKeys;  ///< One of a workspace each, in turn.
  int mConcurrent = 0;
  double mRate = 0;  ///< Requests a second; 0: a closed load.
  int mTokens = 16;
  int mLayers = 12;
  Millis mWarmup = 500;
  Millis mLength = 2000;
  std::string mPath = "/v1/chat/completions";
  Millis mDeadline = 0;  ///< Of each request; 0: none.
  /// Run in the load's thread this long after the start.
  struct Act {
    Millis mAt;
    std::function<void()> mDo;
  };
  std::vector<Act> mActs;
};

/// What came of it, within the measured time.
struct LoadResult {
  double mTokensPerSecond = 0;
  std::vector<double> mFirstTokenMillis;
  std::vector<double> mGapMillis;
  int mGood = 0;
  int mRefused = 0;  ///< Not run, and said so.
  int mLost = 0;     ///< Began and did not end well.
  int mDoubled = 0;  ///< Tokens that came twice.
  int mCrossed = 0;  ///< Answers that were not the caller's own.
  int mTokens = 0;
  /// Tokens in each bucket of 50 ms from the start.
  std::vector<int> mBuckets;
};

inline constexpr Millis kBucketMillis = 50;

/// Runs the load to its end.
LoadResult RunLoad(const LoadOptions& aOptions);

}  // namespace spindleweir
