#include "daemons/invalid_messages.h"

#include "spindleweir/core/log.h"
#include "spindleweir/servers/membership/upstream_table.h"

namespace spindleweir {

namespace {

/// Names and error texts from other processes are cut to this length in logs.
constexpr std::size_t kMaxLoggedLength = 200;

}  // namespace

void InvalidMessages::Record(const char* aSource, const std::string& aInstance,
                             const Error& aWhy) {
  const std::string labels = std::string("at=\"") + aSource + "\",cause=\"" +
                             std::string(InfoOf(aWhy.Code()).mName) + "\"";
  mCounters.Add("bad_upstream_words", labels);
  const InvalidMessageLogLimiter::Decision decision =
      mLogLimiters[labels].OnInvalidMessage(SteadyNow());
  if (!decision.mShouldLog) {
    return;
  }
  LogLine(LogLevel::kWarning, "upstream_word_left_out")
      .Add("at", aSource)
      .Add("instance", aInstance.substr(0, kMaxLoggedLength))
      .Add("code", static_cast<int>(aWhy.Code()))
      .Add("why", std::string(aWhy.what()).substr(0, kMaxLoggedLength))
      .Add("not_logged", decision.mSuppressed);
}

InvalidRowHook InvalidMessages::HookFor(const char* aSource) {
  return [this, aSource](const std::string& aInstance, const Error& aWhy) {
    Record(aSource, aInstance, aWhy);
  };
}

template <class Rows>
Rows InvalidMessages::ReadOrRecord(const char* aSource,
                                   const std::function<Rows()>& aRead) {
  try {
    return aRead();
  } catch (const Error& error) {
    Record(aSource, "", error);
    return {};
  }
}

std::vector<UpstreamRecord> InvalidMessages::Unpack(const char* aSource,
                                                    std::string_view aPacked) {
  return ReadOrRecord<std::vector<UpstreamRecord>>(
      aSource, [&] { return UnpackUpstreams(aPacked, HookFor(aSource)); });
}

std::vector<UpstreamRecord> InvalidMessages::Unpack(
    const char* aSource, const UpstreamUpdate& aUpdate) {
  return ReadOrRecord<std::vector<UpstreamRecord>>(aSource, [&] {
    RequireAge(aUpdate.mAge);
    std::vector<UpstreamRecord> records =
        UnpackUpstreams(aUpdate.mText, HookFor(aSource));
    for (UpstreamRecord& record : records) {
      record.mLastSeenAgo += aUpdate.mAge;
    }
    return records;
  });
}

std::vector<UpstreamHeartbeat> InvalidMessages::UnpackHeartbeats(
    const char* aSource, const Json::Value& aTable) {
  return ReadOrRecord<std::vector<UpstreamHeartbeat>>(
      aSource, [&] { return ReadHeartbeats(aTable, HookFor(aSource)); });
}

LoadShares InvalidMessages::UnpackLoadShares(const char* aSource,
                                             std::string_view aPacked) {
  return ReadOrRecord<LoadShares>(
      aSource, [&] { return UnpackLoads(aPacked, HookFor(aSource)); });
}

}  // namespace spindleweir
