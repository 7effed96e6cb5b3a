#include "daemons/rpc_meter.h"

#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr Millis kLogInterval = 10000;

}  // namespace

RpcMeter::RpcMeter(EventLoop& aLoop, RpcChannel& aChannel, Counters& aCounters,
                   RpcMeterOptions aOptions)
    : mCounters(aCounters), mOptions(std::move(aOptions)) {
  aChannel.OnBytes([this](const RpcBytes& aBytes) { Count(aBytes); });
  mTimer = aLoop.Every(kLogInterval, [this] { Log(); });
}

void RpcMeter::Count(const RpcBytes& aBytes) {
  const std::string other = mOptions.mZoneOf(aBytes.mServer);
  const char* zone = other.empty()             ? "unknown"
                     : other == mOptions.mZone ? "own"
                                               : "other";
  const std::string labels =
      "kind=\"" + aBytes.mMethod + "\",zone=\"" + zone + "\",way=\"";
  mCounters.Add("rpc_bytes", labels + "sent\"", aBytes.mSent);
  mCounters.Add("rpc_bytes", labels + "received\"", aBytes.mReceived);
  if (other != mOptions.mZone) {
    mInterZoneBytes[aBytes.mMethod] += aBytes.mSent + aBytes.mReceived;
    mInterZoneCalls[aBytes.mMethod]++;
  }
}

void RpcMeter::Log() const {
  Json::Value bytes(Json::objectValue);
  Json::Value calls(Json::objectValue);
  for (const auto& [kind, n] : mInterZoneBytes) {
    bytes[kind] = static_cast<Json::Int64>(n);
    calls[kind] = static_cast<Json::Int64>(mInterZoneCalls.at(kind));
  }
  LogLine(LogLevel::kInfo, "bytes_between_zones")
      .Add("bytes", bytes)
      .Add("calls", calls);
}

}  // namespace spindleweir
