/// What a heartbeat, or the word that an upstream leaves, is answered with.
#pragma once

#include <functional>
#include <string>

namespace spindleweir {

struct HeartbeatAnswer {
  /// False: not taken; the upstream is to tell another process.
  bool mAccepted = true;
  /// "IP:PORT" for the upstream's later heartbeats; empty: as before.
  std::string mNextAddress;
};

/// Called once.
using HeartbeatDone = std::function<void(const HeartbeatAnswer&)>;

}  // namespace spindleweir
