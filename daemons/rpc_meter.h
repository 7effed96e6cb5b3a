/// Counts the bytes of calls between processes by method and zone.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "spindleweir/core/counters.h"
#include "spindleweir/drivers/event_loop.h"
#include "spindleweir/drivers/rpc_channel.h"

namespace spindleweir {

/// Settings of an RpcMeter.
struct RpcMeterOptions {
  std::string mZone;  ///< The zone of this process.
  /// Returns the zone of another process; empty: not known.
  std::function<std::string(const Endpoint&)> mZoneOf;
};

/// Adds to the counter "rpc_bytes" by kind (the method), zone (own, other,
/// unknown) and way (sent, received); only the process that makes a call counts
/// it. Logs the sums of calls that left the zone every 10 s.
class RpcMeter {
 public:
  RpcMeter(EventLoop& aLoop, RpcChannel& aChannel, Counters& aCounters,
           RpcMeterOptions aOptions);

 private:
  void Count(const RpcBytes& aBytes);
  void Log() const;

  Counters& mCounters;
  RpcMeterOptions mOptions;
  /// By method: bytes sent and received, and calls, to processes that are not
  /// known to be in this zone.
  std::map<std::string, std::int64_t> mInterZoneBytes;
  std::map<std::string, std::int64_t> mInterZoneCalls;
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
