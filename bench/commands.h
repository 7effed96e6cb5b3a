/// The measures of spindleweir-bench, one function each.
#pragma once

#include <string>
#include <vector>

#include "bench/measure.h"
#include "spindleweir/core/clock.h"

namespace spindleweir {

/// How a measure is to run.
struct BenchOptions {
  double mSeconds = 30;  ///< Bound of the whole call.
  bool mJson = false;
};

void MeasureThroughput(const BenchOptions& aOptions);
void MeasureRecovery(const BenchOptions& aOptions);
void MeasureOverhead(const BenchOptions& aOptions);
void MeasureLimits(const BenchOptions& aOptions);
void MeasureConfiguration(const BenchOptions& aOptions);
void MeasurePlacement(const BenchOptions& aOptions);
void MeasureChoice(const BenchOptions& aOptions);
void MeasureControl(const BenchOptions& aOptions);
void MeasureSlopes(const BenchOptions& aOptions);
void MeasureMemory(const BenchOptions& aOptions);
void MeasurePolls(const BenchOptions& aOptions);

/// What the callers and operators of a history are to do.
struct HistoryOptions {
  std::string mTargets;    ///< File of "NAME KIND IP:PORT" lines.
  std::string mRecord;     ///< File for what they see.
  std::string mDrainable;  ///< A VM that operators drain and take back.
  bool mKeeps = false;     ///< Callers keep their connections to routers.
  unsigned mSeed = 1;
  Millis mLength = 10000;
  int mLayers = 12;
};

void RunHistoryLoad(const HistoryOptions& aOptions);
/// Judges record files; the exit code, 0 where nothing is broken.
int CheckHistory(const std::vector<std::string>& aFiles, int aLayers);

/// Makes a page with plots from files of JSON lines.
void MakeReport(const std::vector<std::string>& aFiles);

}  // namespace spindleweir
