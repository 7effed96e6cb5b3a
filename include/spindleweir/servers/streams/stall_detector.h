/// Detects upstreams that may be dead from the pauses of streams: an upstream
/// is suspected if none of its streams had an event for longer than is typical
/// for them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Identifies a running stream; chosen by the caller.
using StreamKey = std::uint64_t;

/// A wait for the next event of a stream.
struct EventWait {
  StreamKey mKey = 0;
  std::vector<std::string> mInstances;  ///< Of its path.
  Millis mFrom = 0;
};

/// Time without an event after which a stream is late, in milliseconds; 0: no
/// limit.
struct StallTimeouts {
  Millis mFirstEvent = 0;
  Millis mGap = 0;
};

/// Makes decisions only; takes the current time with each call.
class StallDetector {
 public:
  /// Records that a stream was sent, or moved, through these instances.
  void Begin(StreamKey aKey, std::vector<std::string> aInstances, Millis aNow,
             const StallTimeouts& aStallTimeouts = {});
  /// Records an event of the stream. Returns the wait for it if the wait shows
  /// that the path is on time; events that arrive together do not show this.
  std::optional<EventWait> OnEvent(StreamKey aKey, Millis aNow);
  /// Ignores the stream's pauses until its next event, since its caller reads
  /// slowly.
  void Suspend(StreamKey aKey);
  void End(StreamKey aKey);

  /// Returns the instances from which no events arrive any more.
  std::vector<std::string> SuspectInstances(Millis aNow) const;
  /// Returns the streams without an event for longer than aSilence.
  std::vector<StreamKey> SilentStreams(Millis aSilence, Millis aNow) const;
  /// Returns the waits that have become late, each of them once.
  std::vector<EventWait> TakeLateWaits(Millis aNow);
  /// Returns the streams that use any of these instances, the longest silent
  /// first.
  std::vector<StreamKey> StreamsThrough(
      const std::map<std::string, double>& aInstances) const;

 private:
  struct Stream {
    std::vector<std::string> mInstances;
    Millis mLastEventAt = 0;
    double mGap = 0;  ///< Typical milliseconds between events.
    bool mHasEvent = false;
    bool mSuspended = false;
    bool mLate = false;  ///< The awaited event is late.
    StallTimeouts mStallTimeouts;
  };

  std::map<StreamKey, Stream> mStreams;
};

}  // namespace spindleweir
