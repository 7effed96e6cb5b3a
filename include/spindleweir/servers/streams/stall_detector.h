/// Sees from the pauses of streams which upstreams may be dead: one through
/// which nothing has come for longer than its streams are used to.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Streams under way, by a key of the caller's choice.
using StreamKey = std::uint64_t;

/// A wait for an event of a stream.
struct EventWait {
  StreamKey mKey = 0;
  std::vector<std::string> mInstances;  ///< Of its path.
  Millis mFrom = 0;
};

/// How long events of a stream may be waited for before they are late, in
/// milliseconds; 0: any time.
struct StallTimeouts {
  Millis mFirstEvent = 0;
  Millis mGap = 0;
};

/// Decisions only: the time comes with each call.
class StallDetector {
 public:
  /// A stream was sent, or moved, through these instances.
  void Begin(StreamKey aKey, std::vector<std::string> aInstances, Millis aNow,
             const StallTimeouts& aPatience = {});
  /// An event of the stream came. Returns the wait for it where that shows
  /// that the path is in time; two events that come together show nothing.
  std::optional<EventWait> OnEvent(StreamKey aKey, Millis aNow);
  /// The stream's caller reads slowly: its pauses say nothing for now.
  void Suspend(StreamKey aKey);
  void End(StreamKey aKey);

  /// The instances through which nothing comes any more.
  std::vector<std::string> SuspectInstances(Millis aNow) const;
  /// The streams that have been silent for longer than aSilence.
  std::vector<StreamKey> SilentStreams(Millis aSilence, Millis aNow) const;
  /// The waits that have become late; each is given once.
  std::vector<EventWait> TakeLateWaits(Millis aNow);
  /// The streams that pass any of these, the longest silent first.
  std::vector<StreamKey> StreamsThrough(
      const std::map<std::string, double>& aInstances) const;

 private:
  struct Stream {
    std::vector<std::string> mInstances;
    Millis mLastEventAt = 0;
    double mGap = 0;  ///< Usual milliseconds between events.
    bool mHasEvent = false;
    bool mSuspended = false;
    bool mLate = false;  ///< The event that is waited for.
    StallTimeouts mStallTimeouts;
  };

  std::map<StreamKey, Stream> mStreams;
};

}  // namespace spindleweir
