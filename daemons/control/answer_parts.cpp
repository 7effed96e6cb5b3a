#include "daemons/control/answer_parts.h"

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// Measuring an answer writes it and each of its parts anew.
constexpr std::uint64_t kMeasuredOneOf = 128;
constexpr Millis kLogPeriod = 10000;

/// The answer with one part alone.
std::map<std::string, SyncAnswer> PartsOf(const SyncAnswer& aAnswer) {
  std::map<std::string, SyncAnswer> parts;
  parts["loads"].mPackedLoads = aAnswer.mPackedLoads;
  parts["upstreams"].mNewsOfUpstreams = aAnswer.mNewsOfUpstreams;
  parts["beats"].mBeats = aAnswer.mBeats;
  parts["controls"].mControls = aAnswer.mControls;
  parts["configurations"].mNews = aAnswer.mNews;
  parts["not_silent"].mNotSilent = aAnswer.mNotSilent;
  return parts;
}

std::int64_t BytesOf(const SyncAnswer& aAnswer) {
  return static_cast<std::int64_t>(DumpJson(ToJson(aAnswer)).size());
}

}  // namespace

AnswerParts::AnswerParts(EventLoop& aLoop, Counters& aCounters)
    : mCounters(aCounters),
      mTimer(aLoop.Every(kLogPeriod, [this] { Log(); })) {}

void AnswerParts::Count(const SyncQuestion& aQuestion,
                        const SyncAnswer& aAnswer) {
  if (mAnswers++ % kMeasuredOneOf != 0) {
    return;
  }
  const std::string asker = !aQuestion.mControl.mId.empty() ? "control"
                            : aQuestion.mTellsLoads > 0     ? "near"
                                                            : "far";
  const std::int64_t empty = BytesOf({});
  const auto add = [this, &asker](const std::string& aPart,
                                  std::int64_t aBytes) {
    const auto all = aBytes * static_cast<std::int64_t>(kMeasuredOneOf);
    mCounters.Add("sync_answer_bytes",
                  "part=\"" + aPart + "\",asker=\"" + asker + "\"", all);
    mBytes[asker + " " + aPart] += all;
  };
  std::int64_t rest = BytesOf(aAnswer);
  for (const auto& [part, alone] : PartsOf(aAnswer)) {
    const std::int64_t bytes = BytesOf(alone) - empty;
    rest -= bytes;
    add(part, bytes);
  }
  add("rest", rest);
}

void AnswerParts::Log() const {
  Json::Value bytes(Json::objectValue);
  for (const auto& [part, n] : mBytes) {
    bytes[part] = static_cast<Json::Int64>(n);
  }
  LogLine(LogLevel::kInfo, "sync_answer_parts").Add("bytes", bytes);
}

}  // namespace spindleweir
