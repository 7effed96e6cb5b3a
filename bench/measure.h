/// One measured figure, and how figures are printed.
#pragma once

#include <string>
#include <vector>

namespace spindleweir {

/// A figure: the median of several runs, with their spread.
struct Measure {
  std::string mMeasure;
  std::string mCase;
  std::string mVariant;  ///< "ours" or a baseline's name.
  double mValue = 0;
  std::string mUnit;
  double mRatio = 0;     ///< To what mAgainst names; 0: none.
  std::string mAgainst;  ///< "bound" or a baseline's name.
  int mRuns = 1;
  double mSpread = 0;  ///< Greatest minus least.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("measure", mMeasure);
    aCodec.Required("case", mCase);
    aCodec.Required("variant", mVariant);
    aCodec.Required("value", mValue);
    aCodec.Required("unit", mUnit);
    aCodec.Field("ratio", mRatio);
    aCodec.Field("against", mAgainst);
    aCodec.Field("runs", mRuns);
    aCodec.Field("spread", mSpread);
  }
};

/// Prints a figure: a row of a table, or one JSON object.
void PrintMeasure(const Measure& aMeasure, bool aJson);

/// The value below which aShare of the values lie; 0 for none.
double Percentile(std::vector<double> aValues, double aShare);
double Median(const std::vector<double>& aValues);
double Spread(const std::vector<double>& aValues);

/// Sets value, runs and spread from several runs.
Measure FromRuns(Measure aMeasure, const std::vector<double>& aRuns);

}  // namespace spindleweir
