#include "spindleweir/drivers/platform_list.h"

#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;
constexpr Millis kTimeout = 1000;

}  // namespace

void ReadPlatformList(HttpClient& aClient, const Endpoint& aPlatform,
                      std::function<void(const PlatformAnswer*)> aDone) {
  HttpCallOptions options;
  options.mServer = aPlatform;
  options.mPath = "/v1/vms";
  options.mTimeout = kTimeout;
  options.mOnDone = [done = std::move(aDone)](const HttpResult& aResult) {
    if (!aResult.mComplete || aResult.mStatus != kHttpOk) {
      done(nullptr);
      return;
    }
    try {
      const auto answer = FromJson<PlatformAnswer>(ParseJson(aResult.mBody));
      done(&answer);
    } catch (const Error&) {
      done(nullptr);
    }
  };
  aClient.StartDetached(std::move(options));
}

}  // namespace spindleweir
