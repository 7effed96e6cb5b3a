#include "spindleweir/servers/streams/progress_watch.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// What the time to a first event counts as, before any is known.
constexpr double kFirstGap = 150;
constexpr double kLeastGap = 20;
constexpr double kMostGap = 250;
constexpr double kGapWeight = 0.2;
/// The fewer streams pass an instance, the longer must be waited.
constexpr double kLoneStreamFactor = 2;
constexpr double kMargin = 10;

/// What is known of one instance.
struct Evidence {
  int mStreams = 0;
  double mGaps = 0;
  Millis mHeardAt = 0;
};

}  // namespace

void ProgressWatch::Begin(StreamKey aKey, std::vector<std::string> aInstances,
                          Millis aNow) {
  Stream& stream = mStreams[aKey];
  stream.mInstances = std::move(aInstances);
  stream.mHeardAt = aNow;
  stream.mSuspended = false;
  stream.mBegun = false;
  stream.mGap = kFirstGap;
}

void ProgressWatch::Progress(StreamKey aKey, Millis aNow) {
  const auto it = mStreams.find(aKey);
  if (it == mStreams.end()) {
    return;
  }
  Stream& stream = it->second;
  const auto gap = static_cast<double>(aNow - stream.mHeardAt);
  if (stream.mBegun) {
    stream.mGap +=
        (std::clamp(gap, kLeastGap, kMostGap) - stream.mGap) * kGapWeight;
  } else {
    stream.mGap = kFirstGap / 2;
  }
  stream.mBegun = true;
  stream.mSuspended = false;
  stream.mHeardAt = aNow;
}

void ProgressWatch::Suspend(StreamKey aKey) {
  const auto it = mStreams.find(aKey);
  if (it != mStreams.end()) {
    it->second.mSuspended = true;
  }
}

void ProgressWatch::End(StreamKey aKey) {
  mStreams.erase(aKey);
}

std::vector<std::string> ProgressWatch::Suspects(Millis aNow) const {
  std::map<std::string, Evidence> instances;
  for (const auto& [key, stream] : mStreams) {
    if (stream.mSuspended) {
      continue;
    }
    for (const std::string& instance : stream.mInstances) {
      Evidence& evidence = instances[instance];
      evidence.mStreams++;
      evidence.mGaps += stream.mGap;
      evidence.mHeardAt = std::max(evidence.mHeardAt, stream.mHeardAt);
    }
  }
  std::vector<std::string> suspects;
  for (const auto& [instance, evidence] : instances) {
    const double n = evidence.mStreams;
    const double patience =
        evidence.mGaps / n * (1 + kLoneStreamFactor / n) + kMargin;
    if (static_cast<double>(aNow - evidence.mHeardAt) > patience) {
      suspects.push_back(instance);
    }
  }
  return suspects;
}

std::vector<StreamKey> ProgressWatch::Silent(Millis aSilence,
                                             Millis aNow) const {
  std::vector<StreamKey> keys;
  for (const auto& [key, stream] : mStreams) {
    if (!stream.mSuspended && aNow - stream.mHeardAt > aSilence) {
      keys.push_back(key);
    }
  }
  return keys;
}

}  // namespace spindleweir
