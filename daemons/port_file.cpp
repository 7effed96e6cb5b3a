#include "daemons/port_file.h"

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

constexpr Millis kRetryInterval = 500;

}  // namespace

PortFile::PortFile(EventLoop& aLoop, std::string aPath,
                   const std::map<std::string, Endpoint>& aAddresses)
    : mPath(std::move(aPath)) {
  if (mPath.empty()) {
    return;
  }
  Json::Value ports(Json::objectValue);
  for (const auto& [name, address] : aAddresses) {
    ports[name] = address.Text();
  }
  mText = DumpJson(ports);
  RequireFolder(FolderOf(mPath));
  if (Write()) {
    return;
  }
  mTimer = aLoop.Every(kRetryInterval, [this] {
    if (Write()) {
      mTimer.reset();
    }
  });
}

bool PortFile::Write() const {
  try {
    ReplaceFile(mPath, mText);
  } catch (const Error& error) {
    if (error.Code() != ResultCode::kStorageFailed) {
      throw;
    }
    LogLine(LogLevel::kWarning, "port_file_not_written")
        .Add("code", static_cast<int>(error.Code()))
        .Add("why", error.what());
    return false;
  }
  return true;
}

}  // namespace spindleweir
