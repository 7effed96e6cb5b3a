#include "daemons/control/leave_store.h"

#include <algorithm>
#include <sstream>

#include "daemons/control/checked_file.h"
#include "daemons/control/file_warning.h"
#include "spindleweir/core/error.h"
#include "spindleweir/servers/membership/upstream_table.h"

namespace spindleweir {

namespace {

constexpr Millis kSaveInterval = 2000;
/// As long as a registry has an upstream that has ended.
constexpr Millis kRetention = 60000;

/// Content of the file, after the digest.
struct StoredLeaves {
  Millis mWallTime = 0;  ///< Of the write.
  std::string mPacked;   ///< See PackUpstreams().

  std::string Text() const { return std::to_string(mWallTime) + ' ' + mPacked; }
};

/// Reads a file; nothing if it is missing or torn.
std::optional<StoredLeaves> ReadLeaves(const std::string& aPath) {
  const std::optional<std::string> stored = ReadCheckedFile(aPath);
  if (!stored.has_value()) {
    return std::nullopt;
  }
  std::istringstream text(*stored);
  StoredLeaves leaves;
  if (!(text >> leaves.mWallTime) || text.get() != ' ') {
    return std::nullopt;
  }
  leaves.mPacked = stored->substr(static_cast<std::size_t>(text.tellg()));
  return leaves;
}

}  // namespace

std::size_t LeaveStore::Load(UpstreamRegistry& aRegistry, Millis aNow,
                             Millis aWallNow,
                             const InvalidRowHook& aOnInvalidRow) const {
  const std::optional<StoredLeaves> stored = ReadLeaves(mPath);
  if (!stored.has_value()) {
    return 0;
  }
  // The wall clock may have been set back.
  const Millis ago = std::max<Millis>(0, aWallNow - stored->mWallTime);
  std::size_t count = 0;
  try {
    for (UpstreamRecord& record :
         UnpackUpstreams(stored->mPacked, aOnInvalidRow)) {
      record.mLastSeenAgo += ago;
      if (record.mLastSeenAgo > kRetention) {
        continue;
      }
      aRegistry.Merge(record, aNow);
      count++;
    }
  } catch (const Error& error) {
    // Written by a build with another format.
    LogFileWarning("leaves_unreadable", error);
  }
  return count;
}

bool LeaveStore::IsStored(const UpstreamRecord& aRecord) const {
  return mStored.contains({aRecord.mInstance, aRecord.mStart});
}

bool LeaveStore::IsMissing(const std::string& aInstance) const {
  const UpstreamRecord* record = mRegistry.Find(aInstance);
  return record != nullptr && IsLeavingOrGone(record->mState) &&
         !IsStored(*record);
}

void LeaveStore::Store(const std::vector<std::string>& aInstances,
                       StoredHook aDone) {
  const bool anyMissing = std::any_of(
      aInstances.begin(), aInstances.end(),
      [this](const auto& aInstance) { return IsMissing(aInstance); });
  if (!anyMissing) {
    aDone(true);
    return;
  }
  mWaiting.push_back(std::move(aDone));
  if (!mIsSaving) {
    Write();
  }
}

void LeaveStore::Save(Millis aNow) {
  const bool due = mLastSaveAt < 0 || aNow - mLastSaveAt >= kSaveInterval;
  const std::int64_t revision = mRegistry.LastChangeRevision();
  if (!due || mIsSaving || revision == mSavedRevision) {
    return;
  }
  mLastSaveAt = aNow;
  mSavedRevision = revision;
  const std::vector<UpstreamRecord> leaving =
      mRegistry.LeavingOrGone(SteadyNow());
  const bool allStored =
      std::all_of(leaving.begin(), leaving.end(),
                  [this](const auto& aRecord) { return IsStored(aRecord); });
  if (!allStored) {
    Write();
  }
}

void LeaveStore::Write() {
  mIsSaving = true;
  const std::vector<UpstreamRecord> records =
      mRegistry.LeavingOrGone(SteadyNow());
  std::set<Key> keys;
  for (const UpstreamRecord& record : records) {
    keys.insert({record.mInstance, record.mStart});
  }
  const std::string text =
      StoredLeaves{.mWallTime = WallNow(), .mPacked = PackUpstreams(records)}
          .Text();
  mReplace(
      mPath, WithDigest(text),
      [this, keys = std::move(keys), waiting = std::exchange(mWaiting, {})](
          const std::optional<Error>& aError) {
        OnWritten(keys, waiting, aError);
      });
}

void LeaveStore::OnWritten(std::set<Key> aKeys,
                           const std::vector<StoredHook>& aWaiting,
                           const std::optional<Error>& aError) {
  mIsSaving = false;
  if (aError.has_value()) {
    LogFileWarning("leaves_not_kept", *aError);
    // The file has its old content or the new one: see ReplaceFile().
    mStored.clear();
    mSavedRevision = 0;
  } else {
    mStored = std::move(aKeys);
  }
  if (!mWaiting.empty()) {
    Write();
  }
  for (const StoredHook& done : aWaiting) {
    done(!aError.has_value());
  }
}

}  // namespace spindleweir
