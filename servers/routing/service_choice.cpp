#include "spindleweir/servers/routing/service_choice.h"

#include <algorithm>
#include <limits>

namespace spindleweir {

namespace {

/// Another zone is worth as much as this part of an upstream's places.
constexpr double kOtherZone = 0.5;
/// Failures weigh more than a full upstream.
constexpr double kFailures = 4;
constexpr double kAvoided = 100;
constexpr double kTieBreak = 0.05;

double Score(const ServiceQuery& aQuestion, const UpstreamRecord& aRecord) {
  const double places = std::max(1, aRecord.mSlots);
  double score = aQuestion.mRequestsOf(aRecord.mInstance) / places;
  score += aRecord.mZone == aQuestion.mZone ? 0 : kOtherZone;
  score += kFailures * aQuestion.mFailuresOf(aRecord.mInstance);
  score += aQuestion.mAvoid.contains(aRecord.mInstance) ? kAvoided : 0;
  return score + kTieBreak * aQuestion.mRandom();
}

}  // namespace

std::string ChooseUpstream(const ServiceQuery& aQuestion) {
  std::string best;
  double least = std::numeric_limits<double>::infinity();
  for (UpstreamState state : {UpstreamState::kReady, UpstreamState::kSilent}) {
    for (const UpstreamRecord* record : aQuestion.mUpstreams) {
      if (record->mState != state) {
        continue;
      }
      const double score = Score(aQuestion, *record);
      if (score < least) {
        least = score;
        best = record->mInstance;
      }
    }
    if (!best.empty()) {
      break;
    }
  }
  return best;
}

}  // namespace spindleweir
