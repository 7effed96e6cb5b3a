/// The measures of spindleweir-bench, one function each.
#pragma once

#include "bench/measure.h"

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
void MeasureSlopes(const BenchOptions& aOptions);

/// Makes a page with plots from files of JSON lines.
void MakeReport(const std::vector<std::string>& aFiles);

}  // namespace spindleweir
