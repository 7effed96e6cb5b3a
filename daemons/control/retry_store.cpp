#include "daemons/control/retry_store.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "daemons/control/file_warning.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

struct StoredNumber {
  std::string mService;
  int mRetries = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("service", mService);
    aCodec.Required("retries", mRetries);
  }
};

/// Content of the file.
struct StoredNumbers {
  std::vector<StoredNumber> mItems;
  int mVoters = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("granted", mItems);
    aCodec.Sparse("voters", mVoters);
  }
};

}  // namespace

std::optional<RetryStore::Content> RetryStore::Load() const {
  const std::optional<std::string> text = ReadFile(mPath);
  if (!text.has_value()) {
    return std::nullopt;
  }
  try {
    const auto stored = FromJson<StoredNumbers>(ParseJson(*text));
    Content content{.mNumbers = {}, .mVoters = std::max(0, stored.mVoters)};
    for (const StoredNumber& item : stored.mItems) {
      if (item.mRetries < 0) {
        return std::nullopt;
      }
      content.mNumbers[item.mService] = item.mRetries;
    }
    return content;
  } catch (const Error& error) {
    LogFileWarning("retries_unreadable", error);
    return std::nullopt;
  }
}

void RetryStore::Save(const Content& aContent,
                      std::function<void(bool)> aDone) {
  StoredNumbers stored{.mItems = {}, .mVoters = aContent.mVoters};
  for (const auto& [service, retries] : aContent.mNumbers) {
    stored.mItems.push_back({.mService = service, .mRetries = retries});
  }
  mReplace(mPath, DumpJson(ToJson(stored)),
           [done = std::move(aDone)](const std::optional<Error>& aError) {
             if (aError.has_value()) {
               LogFileWarning("retries_not_kept", *aError);
             }
             done(!aError.has_value());
           });
}

}  // namespace spindleweir
