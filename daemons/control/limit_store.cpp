#include "daemons/control/limit_store.h"

#include <utility>
#include <vector>

#include "daemons/control/checked_file.h"
#include "daemons/control/file_warning.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

/// Many upstreams in need change their limits at once, and again and again.
constexpr Millis kSaveInterval = 500;
constexpr Millis kRetryInterval = 2000;

struct StoredLimit {
  std::string mInstance;
  std::int64_t mThousandths = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("instance", mInstance);
    aCodec.Required("thousandths", mThousandths);
  }
};

/// Content of the file, after the digest.
struct StoredLimits {
  std::vector<StoredLimit> mItems;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("limits", mItems);
  }
};

std::string TextOf(const RecentLimits::Thousandths& aLimits) {
  StoredLimits stored;
  for (const auto& [instance, thousandths] : aLimits) {
    stored.mItems.push_back(
        {.mInstance = instance, .mThousandths = thousandths});
  }
  return DumpJson(ToJson(stored));
}

}  // namespace

RecentLimits::Thousandths LimitStore::Load() {
  const std::optional<std::string> text = ReadCheckedFile(mPath);
  if (!text.has_value()) {
    return {};
  }
  try {
    for (const StoredLimit& item :
         FromJson<StoredLimits>(ParseJson(*text)).mItems) {
      if (item.mThousandths >= 0) {
        mStored[item.mInstance] = item.mThousandths;
      }
    }
  } catch (const Error& error) {
    // Written by a build with another format.
    LogFileWarning("limits_unreadable", error);
  }
  return mStored;
}

void LimitStore::Save(const RecentLimits::Thousandths& aLimits, Millis aNow) {
  if (mIsSaving || aLimits == mStored || aNow < mNextSaveAt) {
    return;
  }
  mIsSaving = true;
  mNextSaveAt = aNow + kSaveInterval;
  mReplace(mPath, WithDigest(TextOf(aLimits)),
           [this, aLimits, aNow](const std::optional<Error>& aError) {
             mIsSaving = false;
             if (aError.has_value()) {
               mNextSaveAt = aNow + kRetryInterval;
               LogFileWarning("limits_not_kept", *aError);
               return;
             }
             mStored = aLimits;
           });
}

}  // namespace spindleweir
