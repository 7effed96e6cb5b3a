#include "spindleweir/servers/streams/stall_detector.h"

#include <algorithm>
#include <compare>

namespace spindleweir {

namespace {

/// Assumed time to the first event.
constexpr double kInitialGapMillis = 150;
constexpr double kMinGapMillis = 20;
constexpr double kMaxGapMillis = 250;
constexpr double kGapWeight = 0.2;
/// The fewer streams use an instance, the longer its stall timeout.
constexpr double kLoneStreamFactor = 2;
constexpr double kMarginMillis = 10;
/// Events closer together than this were delayed together on the network.
constexpr Millis kMinEventSpacing = 20;

/// A stream with the time of its last event, ordered by that time.
struct LastEvent {
  Millis mLastEventAt = 0;
  StreamKey mKey = 0;

  // clang-tidy 14 takes the default for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const LastEvent&) const = default;
};

/// Combined pauses of the streams of one instance.
struct Evidence {
  int mStreams = 0;
  double mGaps = 0;
  Millis mLastEventAt = 0;
};

}  // namespace

void StallDetector::Begin(StreamKey aKey, std::vector<std::string> aInstances,
                          Millis aNow, const StallTimeouts& aStallTimeouts) {
  Stream& stream = mStreams[aKey];
  stream.mInstances = std::move(aInstances);
  stream.mLastEventAt = aNow;
  stream.mSuspended = false;
  stream.mHasEvent = false;
  stream.mGap = kInitialGapMillis;
  stream.mLate = false;
  stream.mStallTimeouts = aStallTimeouts;
}

std::optional<EventWait> StallDetector::OnEvent(StreamKey aKey, Millis aNow) {
  const auto it = mStreams.find(aKey);
  if (it == mStreams.end()) {
    return std::nullopt;
  }
  Stream& stream = it->second;
  std::optional<EventWait> onTime;
  if (!stream.mLate && !stream.mSuspended &&
      aNow - stream.mLastEventAt >= kMinEventSpacing) {
    onTime = {aKey, stream.mInstances, stream.mLastEventAt};
  }
  const auto gap = static_cast<double>(aNow - stream.mLastEventAt);
  if (stream.mHasEvent) {
    stream.mGap +=
        (std::clamp(gap, kMinGapMillis, kMaxGapMillis) - stream.mGap) *
        kGapWeight;
  } else {
    stream.mGap = kInitialGapMillis / 2;
  }
  stream.mHasEvent = true;
  stream.mSuspended = false;
  stream.mLate = false;
  stream.mLastEventAt = aNow;
  return onTime;
}

void StallDetector::Suspend(StreamKey aKey) {
  const auto it = mStreams.find(aKey);
  if (it != mStreams.end()) {
    it->second.mSuspended = true;
  }
}

void StallDetector::End(StreamKey aKey) {
  mStreams.erase(aKey);
}

std::vector<std::string> StallDetector::SuspectInstances(Millis aNow) const {
  std::map<std::string, Evidence> instances;
  for (const auto& [key, stream] : mStreams) {
    if (stream.mSuspended) {
      continue;
    }
    for (const std::string& instance : stream.mInstances) {
      Evidence& evidence = instances[instance];
      evidence.mStreams++;
      evidence.mGaps += stream.mGap;
      evidence.mLastEventAt =
          std::max(evidence.mLastEventAt, stream.mLastEventAt);
    }
  }
  std::vector<std::string> suspects;
  for (const auto& [instance, evidence] : instances) {
    const double n = evidence.mStreams;
    const double timeout =
        evidence.mGaps / n * (1 + kLoneStreamFactor / n) + kMarginMillis;
    if (static_cast<double>(aNow - evidence.mLastEventAt) > timeout) {
      suspects.push_back(instance);
    }
  }
  return suspects;
}

std::vector<StreamKey> StallDetector::SilentStreams(Millis aSilence,
                                                    Millis aNow) const {
  std::vector<StreamKey> keys;
  for (const auto& [key, stream] : mStreams) {
    if (!stream.mSuspended && aNow - stream.mLastEventAt > aSilence) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<EventWait> StallDetector::TakeLateWaits(Millis aNow) {
  std::vector<EventWait> late;
  for (auto& [key, stream] : mStreams) {
    const Millis timeout = stream.mHasEvent ? stream.mStallTimeouts.mGap
                                            : stream.mStallTimeouts.mFirstEvent;
    const bool onTime = timeout <= 0 || aNow - stream.mLastEventAt <= timeout;
    if (onTime || stream.mLate || stream.mSuspended) {
      continue;
    }
    stream.mLate = true;
    late.push_back({key, stream.mInstances, stream.mLastEventAt});
  }
  return late;
}

std::vector<StreamKey> StallDetector::StreamsThrough(
    const std::map<std::string, double>& aInstances) const {
  std::vector<LastEvent> found;
  for (const auto& [key, stream] : mStreams) {
    const bool usesInstance =
        std::any_of(stream.mInstances.begin(), stream.mInstances.end(),
                    [&aInstances](const std::string& aInstance) {
                      return aInstances.contains(aInstance);
                    });
    if (usesInstance) {
      found.push_back({stream.mLastEventAt, key});
    }
  }
  std::sort(found.begin(), found.end());
  std::vector<StreamKey> keys;
  for (const LastEvent& silent : found) {
    keys.push_back(silent.mKey);
  }
  return keys;
}

}  // namespace spindleweir
