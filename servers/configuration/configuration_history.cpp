#include "spindleweir/servers/configuration/configuration_history.h"

#include "spindleweir/core/digest.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

constexpr std::size_t kMaxStoredChanges = 64;

std::string DigestOf(const Configuration& aConfiguration) {
  return Sha256Hex(DumpJson(ToJson(aConfiguration)));
}

}  // namespace

ConfigurationUpdateResult ConfigurationHistory::ApplyUpdate(
    const ConfigurationUpdate& aUpdate) {
  return aUpdate.mIsFull ? ApplyFull(aUpdate) : ApplyChanges(aUpdate);
}

ConfigurationUpdateResult ConfigurationHistory::ApplyFull(
    const ConfigurationUpdate& aUpdate) {
  const Configuration& full = aUpdate.mFull;
  if (full.mVersion <= mCurrent.mVersion) {
    const bool fork =
        full.mVersion == mCurrent.mVersion && full.mHash != mCurrent.mHash;
    return fork ? ConfigurationUpdateResult::kFork
                : ConfigurationUpdateResult::kStale;
  }
  if (DigestOf(full) != aUpdate.mFullDigest) {
    return ConfigurationUpdateResult::kHashMismatch;
  }
  mCurrent = full;
  mChanges.clear();
  return ConfigurationUpdateResult::kApplied;
}

ConfigurationUpdateResult ConfigurationHistory::ApplyChanges(
    const ConfigurationUpdate& aUpdate) {
  ConfigurationUpdateResult verdict = ConfigurationUpdateResult::kStale;
  for (const ConfigurationChange& change : aUpdate.mChanges) {
    if (change.mVersion == mCurrent.mVersion &&
        change.mHash != mCurrent.mHash) {
      return ConfigurationUpdateResult::kFork;
    }
    if (change.mVersion <= mCurrent.mVersion) {
      continue;
    }
    if (change.mVersion > mCurrent.mVersion + 1) {
      return ConfigurationUpdateResult::kGap;
    }
    if (change.mPreviousHash != mCurrent.mHash) {
      return ConfigurationUpdateResult::kFork;
    }
    if (ChangeHash(change) != change.mHash) {
      return ConfigurationUpdateResult::kHashMismatch;
    }
    ApplyChange(mCurrent, change);
    mChanges.push_back(change);
    if (mChanges.size() > kMaxStoredChanges) {
      mChanges.pop_front();
    }
    verdict = ConfigurationUpdateResult::kApplied;
  }
  return verdict;
}

ConfigurationUpdate ConfigurationHistory::UpdateFor(
    const ConfigurationRequest& aRequest) const {
  ConfigurationUpdate update;
  if (aRequest.mVersion >= mCurrent.mVersion) {
    return update;
  }
  for (const ConfigurationChange& change : mChanges) {
    const bool follows = update.mChanges.empty()
                             ? change.mVersion == aRequest.mVersion + 1 &&
                                   change.mPreviousHash == aRequest.mHash
                             : true;
    if (follows) {
      update.mChanges.push_back(change);
    }
  }
  if (update.mChanges.empty()) {
    update.mIsFull = true;
    update.mFull = mCurrent;
    update.mFullDigest = DigestOf(mCurrent);
  }
  return update;
}

}  // namespace spindleweir
