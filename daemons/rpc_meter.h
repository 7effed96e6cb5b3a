/// Counts what calls between processes put on the wire, by kind and zone.
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

/// What a meter counts for.
struct RpcMeterOptions {
  std::string mZone;  ///< Of this process.
  /// The zone of another process; empty: not known.
  std::function<std::string(const Endpoint&)> mZoneOf;
};

/// Counter "rpc_bytes", by kind (the method), zone (own, other, unknown) and
/// way (sent, received), each call counted where it was made; a log line with
/// the sums between zones each 10 s.
class RpcMeter {
 public:
  RpcMeter(EventLoop& aLoop, RpcChannel& aChannel, Counters& aCounters,
           RpcMeterOptions aOptions);

 private:
  void Count(const RpcBytes& aBytes);
  void Log() const;

  Counters& mCounters;
  RpcMeterOptions mOptions;
  /// Bytes between zones by kind, both ways.
  std::map<std::string, std::int64_t> mBetween;
  std::map<std::string, std::int64_t> mCalls;
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
