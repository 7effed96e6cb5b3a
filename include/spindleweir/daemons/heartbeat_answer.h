/// The answer to an upstream's heartbeat or leave notice.
#pragma once

#include <functional>
#include <string>

namespace spindleweir {

struct HeartbeatAnswer {
  /// False: not accepted; the upstream must send it to another process.
  bool mAccepted = true;
  /// "IP:PORT" to which the upstream sends its next heartbeats; empty: the
  /// address does not change.
  std::string mNextAddress;
};

/// Called once per heartbeat or leave notice.
using HeartbeatDone = std::function<void(const HeartbeatAnswer&)>;

}  // namespace spindleweir
