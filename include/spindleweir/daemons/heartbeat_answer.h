/// What a heartbeat, or the word that an upstream leaves, is answered with.
#pragma once

#include <functional>
#include <string>

namespace spindleweir {

struct BeatAnswer {
  /// False: not taken; the upstream is to tell another process.
  bool mAccepted = true;
  /// "IP:PORT" for the upstream's later heartbeats; empty: as before.
  std::string mLaterAt;
};

/// Called once.
using BeatDone = std::function<void(const BeatAnswer&)>;

}  // namespace spindleweir
