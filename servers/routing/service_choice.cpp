#include "spindleweir/servers/routing/service_choice.h"

#include <algorithm>
#include <limits>

namespace spindleweir {

namespace {

/// Score penalty of another zone, as a share of an upstream's slots.
constexpr double kRemoteZonePenalty = 0.5;
/// Score weight of the failure rate: more than that of a full upstream.
constexpr double kFailureWeight = 4;
constexpr double kAvoidedPenalty = 100;
constexpr double kTieBreak = 0.05;

double Score(const ServiceQuery& aQuery, const UpstreamRecord& aRecord) {
  const double slots = std::max(1, aRecord.mSlots);
  double score = aQuery.mRequestsOf(aRecord.mInstance) / slots;
  score += aRecord.mZone == aQuery.mZone ? 0 : kRemoteZonePenalty;
  score += kFailureWeight * aQuery.mFailuresOf(aRecord.mInstance);
  score += aQuery.mAvoid.contains(aRecord.mInstance) ? kAvoidedPenalty : 0;
  return score + kTieBreak * aQuery.mRandom();
}

}  // namespace

std::string ChooseUpstream(const ServiceQuery& aQuery) {
  std::string best;
  double minScore = std::numeric_limits<double>::infinity();
  for (UpstreamState state : {UpstreamState::kReady, UpstreamState::kSilent}) {
    for (const UpstreamRecord* record : aQuery.mUpstreams) {
      if (record->mState != state) {
        continue;
      }
      const double score = Score(aQuery, *record);
      if (score < minScore) {
        minScore = score;
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
