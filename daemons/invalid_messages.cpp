#include "daemons/invalid_messages.h"

#include "spindleweir/core/log.h"
#include "spindleweir/servers/membership/upstream_table.h"

namespace spindleweir {

namespace {

/// What is shown of a name or a message that another writer chose.
constexpr std::size_t kShown = 200;

}  // namespace

void InvalidMessages::Record(const char* aAt, const std::string& aInstance,
                             const Error& aWhy) {
  const std::string labels = std::string("at=\"") + aAt + "\",cause=\"" +
                             std::string(InfoOf(aWhy.Code()).mName) + "\"";
  mCounters.Add("bad_upstream_words", labels);
  const InvalidMessageLogLimiter::Decision turn =
      mPaces[labels].OnInvalidMessage(SteadyNow());
  if (!turn.mShouldLog) {
    return;
  }
  LogLine(LogLevel::kWarning, "upstream_word_left_out")
      .Add("at", aAt)
      .Add("instance", aInstance.substr(0, kShown))
      .Add("code", static_cast<int>(aWhy.Code()))
      .Add("why", std::string(aWhy.what()).substr(0, kShown))
      .Add("not_logged", turn.mSuppressed);
}

InvalidRowHook InvalidMessages::HookFor(const char* aAt) {
  return [this, aAt](const std::string& aInstance, const Error& aWhy) {
    Record(aAt, aInstance, aWhy);
  };
}

template <class Rows>
Rows InvalidMessages::RowsOf(const char* aAt,
                             const std::function<Rows()>& aRead) {
  try {
    return aRead();
  } catch (const Error& error) {
    Record(aAt, "", error);
    return {};
  }
}

std::vector<UpstreamRecord> InvalidMessages::Unpack(const char* aAt,
                                                    std::string_view aPacked) {
  return RowsOf<std::vector<UpstreamRecord>>(
      aAt, [&] { return UnpackUpstreams(aPacked, HookFor(aAt)); });
}

std::vector<UpstreamRecord> InvalidMessages::Unpack(
    const char* aAt, const UpstreamUpdate& aNews) {
  return RowsOf<std::vector<UpstreamRecord>>(aAt, [&] {
    RequireAge(aNews.mAge);
    std::vector<UpstreamRecord> records =
        UnpackUpstreams(aNews.mText, HookFor(aAt));
    for (UpstreamRecord& record : records) {
      record.mLastSeenAgo += aNews.mAge;
    }
    return records;
  });
}

std::vector<UpstreamHeartbeat> InvalidMessages::UnpackHeartbeats(
    const char* aAt, const Json::Value& aTable) {
  return RowsOf<std::vector<UpstreamHeartbeat>>(
      aAt, [&] { return ReadHeartbeats(aTable, HookFor(aAt)); });
}

LoadShares InvalidMessages::UnpackLoadShares(const char* aAt,
                                             std::string_view aPacked) {
  return RowsOf<LoadShares>(aAt,
                            [&] { return UnpackLoads(aPacked, HookFor(aAt)); });
}

}  // namespace spindleweir
