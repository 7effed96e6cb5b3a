/// Measures the choice of paths: many routers with late news against one that
/// sees all at once.
#include "bench/choice_play.h"
#include "bench/commands.h"
#include "bench/measure.h"

namespace spindleweir {

namespace {

void Print(const char* aVariant, const ChoicePlayOptions& aOptions,
           bool aJson) {
  const ChoicePlayResult result = PlayChoices(aOptions);
  const std::string setting = std::to_string(aOptions.mRouters) +
                              " routers, news " +
                              std::to_string(aOptions.mNewsAge) + " ms old";
  const auto print = [&](const char* aWhat, double aValue, const char* aUnit) {
    PrintMeasure({.mMeasure = aWhat,
                  .mCase = setting,
                  .mVariant = aVariant,
                  .mValue = aValue,
                  .mUnit = aUnit},
                 aJson);
  };
  print("refused", result.RefusedShare(), "of requests");
  print("first p95", result.mFirstP95, "ms");
  print("token p95", result.mTokenP95, "ms");
  print("busiest engine", result.mBusiest, "of the mean");
  print("time of choice", result.mChoiceMicros, "us");
}

}  // namespace

void MeasureChoice(const BenchOptions& aOptions) {
  ChoicePlayOptions play = LargeFleet();
  play.mRouters = 1;
  play.mNewsAge = 0;
  play.mRule = ChoiceRule::kCheapest;
  Print("sees all", play, aOptions.mJson);
  play.mNewsAge = 1000;
  for (const int routers : {8, 85, 195, 520}) {
    play.mRouters = routers;
    play.mRule = ChoiceRule::kCheapest;
    Print("cheapest", play, aOptions.mJson);
    play.mRule = ChoiceRule::kPathChoice;
    Print("path choice", play, aOptions.mJson);
  }
}

}  // namespace spindleweir
