#include "daemons/control/upstream_store.h"

#include "daemons/control/checked_file.h"
#include "daemons/control/file_warning.h"
#include "spindleweir/core/error.h"
#include "spindleweir/servers/membership/upstream_table.h"

namespace spindleweir {

namespace {

constexpr Millis kSaveInterval = 2000;

/// Returns the upstreams that may be used. Those that are leaving are not
/// stored, so that a restart does not restore them.
std::vector<UpstreamRecord> ReadyUpstreams(const UpstreamRegistry& aRegistry) {
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
                                const InvalidRowHook& aOnInvalidRow) const {
  const std::optional<std::string> stored = ReadCheckedFile(mPath);
  if (!stored.has_value()) {
    return 0;
  }
  std::size_t count = 0;
  try {
    for (const UpstreamRecord& record :
         UnpackUpstreams(*stored, aOnInvalidRow)) {
      aRegistry.Merge(record, aNow);
      count++;
    }
  } catch (const Error& error) {
    // Written by a build with another format.
    LogFileWarning("upstreams_unreadable", error);
  }
  return count;
}

void UpstreamStore::Save(const UpstreamRegistry& aRegistry, Millis aNow) {
  const bool due = mLastAttemptAt < 0 || aNow - mLastAttemptAt >= kSaveInterval;
  const std::int64_t revision = aRegistry.LastChangeRevision();
  if (!due || mIsSaving || revision == mSavedRevision) {
    return;
  }
  mLastAttemptAt = aNow;
  mIsSaving = true;
  mReplace(mPath, WithDigest(PackUpstreams(ReadyUpstreams(aRegistry))),
           [this, revision](const std::optional<Error>& aError) {
             OnSaved(revision, aError);
           });
}

void UpstreamStore::OnSaved(std::int64_t aRevision,
                            const std::optional<Error>& aError) {
  mIsSaving = false;
  if (!aError.has_value()) {
    mSavedRevision = aRevision;
    return;
  }
  LogFileWarning("upstreams_not_kept", *aError);
}

}  // namespace spindleweir
