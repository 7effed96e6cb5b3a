#include "standins/platform_standin.h"

#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;
constexpr Millis kReadInterval = 50;

}  // namespace

PlatformStandin::PlatformStandin(EventLoop& aLoop,
                                 PlatformStandinOptions aOptions)
    : mOptions(std::move(aOptions)) {
  mVersions.push_back({SteadyNow() - mOptions.mLag, "{\"vms\":[]}"});
  mTimer = aLoop.Every(kReadInterval, [this] { ReadList(); });
  mServer = std::make_unique<HttpServer>(
      aLoop,
      HttpServerOptions{
          .mListen = mOptions.mListen,
          .mHandle = [this](const std::shared_ptr<HttpExchange>& aExchange) {
            aExchange->Reply(kHttpOk, "application/json", VisibleList());
          }});
}

void PlatformStandin::ReadList() {
  const std::string text = ReadFile(mOptions.mFile).value_or("");
  if (!text.empty() && text != mVersions.back().mText) {
    mVersions.push_back({SteadyNow(), text});
  }
}

const std::string& PlatformStandin::VisibleList() {
  const Millis until = SteadyNow() - mOptions.mLag;
  while (mVersions.size() > 1 && mVersions[1].mSeenAt <= until) {
    mVersions.pop_front();
  }
  return mVersions.front().mText;
}

}  // namespace spindleweir
