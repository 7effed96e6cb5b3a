#include "spindleweir/daemons/entry_vms_file.h"

#include "spindleweir/core/error.h"
#include "spindleweir/core/log.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

constexpr Millis kCheckInterval = 200;

}  // namespace

EntryVmsFile::EntryVmsFile(EventLoop& aLoop, std::string aPath)
    : mPath(std::move(aPath)),
      mTimer(aLoop.Every(kCheckInterval, [this] { Check(); })) {}

void EntryVmsFile::Check() {
  const std::string text = ReadFile(mPath).value_or("");
  if (text.empty() || text == mText) {
    return;
  }
  mText = text;
  try {
    mCurrent = EntryVms::Parse(text);
  } catch (const Error& error) {
    LogLine(LogLevel::kError, "entry_vms_refused").Add("why", error.what());
    return;
  }
  LogLine(LogLevel::kInfo, "entry_vms_read")
      .Add("count", static_cast<int>(mCurrent.All().size()));
  mSignalChanged.emit(mCurrent);
}

}  // namespace spindleweir
