#include "daemons/control/upstream_store.h"

#include "spindleweir/core/digest.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/log.h"
#include "spindleweir/drivers/file_tools.h"
#include "spindleweir/servers/membership/upstream_table.h"

namespace spindleweir {

namespace {

constexpr Millis kSaveEvery = 2000;
constexpr char kAfterDigest = ' ';

std::string DigestOf(std::string_view aText) {
  return std::to_string(FastHash(aText));
}

/// Only those that may be used; whoever leaves is not brought back.
std::vector<UpstreamRecord> ReadyOf(const UpstreamRegistry& aRegistry) {
  std::vector<UpstreamRecord> ready;
  for (const UpstreamRecord* record : aRegistry.OfService("")) {
    if (record->mState == UpstreamState::kReady) {
      ready.push_back(*record);
    }
  }
  return ready;
}

}  // namespace

std::size_t UpstreamStore::Load(UpstreamRegistry& aRegistry, Millis aNow,
                                const InvalidRowHook& aOnBad) const {
  const std::string kept = ReadFile(mPath).value_or("");
  const std::size_t n = kept.find(kAfterDigest);
  if (n == std::string::npos ||
      kept.substr(0, n) != DigestOf(std::string_view(kept).substr(n + 1))) {
    return 0;
  }
  std::size_t count = 0;
  try {
    for (const UpstreamRecord& record :
         UnpackUpstreams(std::string_view(kept).substr(n + 1), aOnBad)) {
      aRegistry.Merge(record, aNow);
      count++;
    }
  } catch (const Error& error) {
    // Of another build.
    LogLine(LogLevel::kWarning, "upstreams_unreadable")
        .Add("code", static_cast<int>(error.Code()))
        .Add("why", error.what());
  }
  return count;
}

void UpstreamStore::Save(const UpstreamRegistry& aRegistry, Millis aNow) {
  const bool due = mTriedAt < 0 || aNow - mTriedAt >= kSaveEvery;
  if (!due || aRegistry.LastChangeRevision() == mSaved) {
    return;
  }
  mTriedAt = aNow;
  const std::string text = PackUpstreams(ReadyOf(aRegistry));
  try {
    ReplaceFile(mPath, DigestOf(text) + kAfterDigest + text);
    mSaved = aRegistry.LastChangeRevision();
  } catch (const Error& error) {
    LogLine(LogLevel::kWarning, "upstreams_not_kept")
        .Add("code", static_cast<int>(error.Code()))
        .Add("why", error.what());
  }
}

}  // namespace spindleweir
