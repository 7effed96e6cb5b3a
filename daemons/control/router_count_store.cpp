#include "daemons/control/router_count_store.h"

#include <charconv>
#include <cstdlib>

#include "spindleweir/core/error.h"
#include "spindleweir/core/log.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

/// A write and its sync take up to 10 ms on these disks.
constexpr Millis kSaveEvery = 5000;
constexpr int kTenth = 10;
constexpr int kMostRouters = 100000;

}  // namespace

int RouterCountStore::Load() const {
  const std::string text = ReadFile(mPath).value_or("");
  int count = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result read = std::from_chars(text.data(), end, count);
  const bool usable = read.ec == std::errc() && read.ptr == end && count > 0 &&
                      count <= kMostRouters;
  return usable ? count : 0;
}

void RouterCountStore::Save(int aRouters, Millis aNow) {
  const bool due = mTriedAt < 0 || aNow - mTriedAt >= kSaveEvery;
  const bool differs = std::abs(aRouters - mSaved) * kTenth > mSaved;
  if (!due || !differs || aRouters <= 0) {
    return;
  }
  mTriedAt = aNow;
  try {
    ReplaceFile(mPath, std::to_string(aRouters));
    mSaved = aRouters;
  } catch (const Error& error) {
    LogLine(LogLevel::kWarning, "routers_not_kept")
        .Add("code", static_cast<int>(error.Code()))
        .Add("why", error.what());
  }
}

}  // namespace spindleweir
