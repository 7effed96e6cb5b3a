/// Sees from the pauses of streams which upstreams may be dead: one through
/// which nothing has come for longer than its streams are used to.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Streams under way, by a key of the caller's choice.
using StreamKey = std::uint64_t;

/// Decisions only: the time comes with each call.
class ProgressWatch {
 public:
  /// A stream was sent, or moved, through these instances.
  void Begin(StreamKey aKey, std::vector<std::string> aInstances, Millis aNow);
  /// An event of the stream came.
  void Progress(StreamKey aKey, Millis aNow);
  /// The stream's caller reads slowly: its pauses say nothing for now.
  void Suspend(StreamKey aKey);
  void End(StreamKey aKey);

  /// The instances through which nothing comes any more.
  std::vector<std::string> Suspects(Millis aNow) const;
  /// The streams that have been silent for longer than aSilence.
  std::vector<StreamKey> Silent(Millis aSilence, Millis aNow) const;

 private:
  struct Stream {
    std::vector<std::string> mInstances;
    Millis mHeardAt = 0;
    double mGap = 0;  ///< Usual milliseconds between events.
    bool mBegun = false;
    bool mSuspended = false;
  };

  std::map<StreamKey, Stream> mStreams;
};

}  // namespace spindleweir
