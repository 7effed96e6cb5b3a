#include "daemons/control/answer_size_meter.h"

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// Measuring an answer encodes it and each of its parts once more.
constexpr std::uint64_t kAnswersPerSample = 128;
constexpr Millis kLogInterval = 10000;

/// Returns one answer per part, which holds that part only.
std::map<std::string, SyncAnswer> SplitIntoParts(const SyncAnswer& aAnswer) {
  std::map<std::string, SyncAnswer> parts;
  parts["loads"].mPackedLoads = aAnswer.mPackedLoads;
  parts["upstreams"].mUpstreamUpdates = aAnswer.mUpstreamUpdates;
  parts["beats"].mHeartbeats = aAnswer.mHeartbeats;
  parts["controls"].mControls = aAnswer.mControls;
  parts["configurations"].mConfigurationUpdates = aAnswer.mConfigurationUpdates;
  parts["not_silent"].mNotSilent = aAnswer.mNotSilent;
  return parts;
}

std::int64_t EncodedBytes(const SyncAnswer& aAnswer) {
  return static_cast<std::int64_t>(DumpJson(ToJson(aAnswer)).size());
}

}  // namespace

AnswerSizeMeter::AnswerSizeMeter(EventLoop& aLoop, Counters& aCounters)
    : mCounters(aCounters),
      mTimer(aLoop.Every(kLogInterval, [this] { Log(); })) {}

void AnswerSizeMeter::Count(const SyncRequest& aRequest,
                            const SyncAnswer& aAnswer) {
  if (mAnswers++ % kAnswersPerSample != 0) {
    return;
  }
  const std::string poller = !aRequest.mControl.mId.empty() ? "control"
                             : aRequest.mReportsLoads > 0   ? "near"
                                                            : "far";
  const std::int64_t empty = EncodedBytes({});
  const auto add = [this, &poller](const std::string& aPart,
                                   std::int64_t aBytes) {
    const auto all = aBytes * static_cast<std::int64_t>(kAnswersPerSample);
    mCounters.Add("sync_answer_bytes",
                  "part=\"" + aPart + "\",asker=\"" + poller + "\"", all);
    mBytes[poller + " " + aPart] += all;
  };
  std::int64_t rest = EncodedBytes(aAnswer);
  for (const auto& [part, alone] : SplitIntoParts(aAnswer)) {
    const std::int64_t bytes = EncodedBytes(alone) - empty;
    rest -= bytes;
    add(part, bytes);
  }
  add("rest", rest);
}

void AnswerSizeMeter::Log() const {
  Json::Value bytes(Json::objectValue);
  for (const auto& [part, n] : mBytes) {
    bytes[part] = static_cast<Json::Int64>(n);
  }
  LogLine(LogLevel::kInfo, "sync_answer_parts").Add("bytes", bytes);
}

}  // namespace spindleweir
