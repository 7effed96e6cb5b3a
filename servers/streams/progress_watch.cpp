#include "spindleweir/servers/streams/progress_watch.h"

#include <algorithm>
#include <compare>

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
/// Events closer to each other than this waited together on their way here.
constexpr Millis kApart = 20;

/// A stream with the time of its last event, the earliest first.
struct SilentSince {
  Millis mHeardAt = 0;
  StreamKey mKey = 0;

  // clang-tidy 14 takes the default for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const SilentSince&) const = default;
};

/// What is known of one instance.
struct Evidence {
  int mStreams = 0;
  double mGaps = 0;
  Millis mHeardAt = 0;
};

}  // namespace

void ProgressWatch::Begin(StreamKey aKey, std::vector<std::string> aInstances,
                          Millis aNow, const EventPatience& aPatience) {
  Stream& stream = mStreams[aKey];
  stream.mInstances = std::move(aInstances);
  stream.mHeardAt = aNow;
  stream.mSuspended = false;
  stream.mBegun = false;
  stream.mGap = kFirstGap;
  stream.mLate = false;
  stream.mPatience = aPatience;
}

std::optional<EventWait> ProgressWatch::Progress(StreamKey aKey, Millis aNow) {
  const auto it = mStreams.find(aKey);
  if (it == mStreams.end()) {
    return std::nullopt;
  }
  Stream& stream = it->second;
  std::optional<EventWait> inTime;
  if (!stream.mLate && !stream.mSuspended && aNow - stream.mHeardAt >= kApart) {
    inTime = {aKey, stream.mInstances, stream.mHeardAt};
  }
  const auto gap = static_cast<double>(aNow - stream.mHeardAt);
  if (stream.mBegun) {
    stream.mGap +=
        (std::clamp(gap, kLeastGap, kMostGap) - stream.mGap) * kGapWeight;
  } else {
    stream.mGap = kFirstGap / 2;
  }
  stream.mBegun = true;
  stream.mSuspended = false;
  stream.mLate = false;
  stream.mHeardAt = aNow;
  return inTime;
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

std::vector<EventWait> ProgressWatch::TakeLate(Millis aNow) {
  std::vector<EventWait> late;
  for (auto& [key, stream] : mStreams) {
    const Millis patience =
        stream.mBegun ? stream.mPatience.mGap : stream.mPatience.mFirst;
    const bool inTime = patience <= 0 || aNow - stream.mHeardAt <= patience;
    if (inTime || stream.mLate || stream.mSuspended) {
      continue;
    }
    stream.mLate = true;
    late.push_back({key, stream.mInstances, stream.mHeardAt});
  }
  return late;
}

std::vector<StreamKey> ProgressWatch::Through(
    const std::map<std::string, double>& aInstances) const {
  std::vector<SilentSince> found;
  for (const auto& [key, stream] : mStreams) {
    const bool passes =
        std::any_of(stream.mInstances.begin(), stream.mInstances.end(),
                    [&aInstances](const std::string& aInstance) {
                      return aInstances.contains(aInstance);
                    });
    if (passes) {
      found.push_back({stream.mHeardAt, key});
    }
  }
  std::sort(found.begin(), found.end());
  std::vector<StreamKey> keys;
  for (const SilentSince& silent : found) {
    keys.push_back(silent.mKey);
  }
  return keys;
}

}  // namespace spindleweir
