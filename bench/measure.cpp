#include "bench/measure.h"

#include <algorithm>
#include <cstdio>
#include <iostream>

#include "spindleweir/core/json_codec.h"

namespace spindleweir {

void PrintMeasure(const Measure& aMeasure, bool aJson) {
  if (aJson) {
    std::cout << DumpJson(ToJson(aMeasure)) << std::endl;
    return;
  }
  std::printf("%-14s %-34s %-16s %12.3f %-12s", aMeasure.mMeasure.c_str(),
              aMeasure.mCase.c_str(), aMeasure.mVariant.c_str(),
              aMeasure.mValue, aMeasure.mUnit.c_str());
  if (!aMeasure.mAgainst.empty()) {
    std::printf(" %8.3f of %-10s", aMeasure.mRatio, aMeasure.mAgainst.c_str());
  }
  std::printf(" runs %d spread %.3f\n", aMeasure.mRuns, aMeasure.mSpread);
  std::fflush(stdout);
}

double Percentile(std::vector<double> aValues, double aShare) {
  if (aValues.empty()) {
    return 0;
  }
  const auto n = static_cast<std::ptrdiff_t>(
      aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + n, aValues.end());
  return aValues[static_cast<std::size_t>(n)];
}

double Median(const std::vector<double>& aValues) {
  return Percentile(aValues, 0.5);
}

double Spread(const std::vector<double>& aValues) {
  if (aValues.empty()) {
    return 0;
  }
  const auto [least, most] =
      std::minmax_element(aValues.begin(), aValues.end());
  return *most - *least;
}

Measure FromRuns(Measure aMeasure, const std::vector<double>& aRuns) {
  aMeasure.mValue = Median(aRuns);
  aMeasure.mSpread = Spread(aRuns);
  aMeasure.mRuns = static_cast<int>(aRuns.size());
  return aMeasure;
}

}  // namespace spindleweir
