#include "main/ctl_client.h"

#include <deque>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/drivers/blocking_call.h"

namespace spindleweir {

namespace {

constexpr int kHttpRedirect = 307;
constexpr int kHttpUnavailable = 503;
constexpr Millis kRetryInterval = 200;
constexpr std::string_view kScheme = "http://";

HttpResult CallOnce(const Endpoint& aServer, const std::string& aMethod,
                    const std::string& aPath, const std::string& aKey,
                    const std::string& aBody, Millis aTimeout) {
  HttpCallOptions options;
  options.mServer = aServer;
  options.mMethod = aMethod;
  options.mPath = aPath;
  options.mBody = aBody;
  options.mHeaders = {{"Authorization", "Bearer " + aKey}};
  options.mTimeout = aTimeout;
  return CallAndWait(std::move(options));
}

void Sleep(Millis aTime) {
  EventLoop loop;
  const auto timer = loop.After(aTime, [&loop] { loop.Stop(); });
  loop.Run();
}

/// The server of a Location header; port 0 if there is none.
Endpoint RedirectTarget(const HttpResult& aResult) {
  for (const HttpHeader& header : aResult.mHeaders) {
    if (header.mName == "Location" && header.mValue.starts_with(kScheme)) {
      const std::string rest = header.mValue.substr(kScheme.size());
      return ParseEndpoint(rest.substr(0, rest.find('/')), "Location");
    }
  }
  return {};
}

}  // namespace

CtlClient::CtlClient(std::vector<Endpoint> aControls, std::string aKey,
                     int aTimeoutMillis)
    : mControls(std::move(aControls)),
      mKey(std::move(aKey)),
      mTimeoutMillis(aTimeoutMillis) {}

CtlAnswer CtlClient::Call(const std::string& aMethod, const std::string& aPath,
                          const Json::Value& aBody) {
  const std::string body = aBody.isNull() ? "" : DumpJson(aBody);
  const Millis end = SteadyNow() + mTimeoutMillis;
  CtlAnswer answer;
  std::deque<Endpoint> next(mControls.begin(), mControls.end());
  while (SteadyNow() < end) {
    if (next.empty()) {
      Sleep(kRetryInterval);
      next.assign(mControls.begin(), mControls.end());
    }
    const Endpoint server = next.front();
    next.pop_front();
    const HttpResult result = CallOnce(server, aMethod, aPath, mKey, body,
                                       std::max<Millis>(1, end - SteadyNow()));
    if (!result.mComplete) {
      continue;
    }
    if (result.mStatus == kHttpRedirect) {
      const Endpoint leader = RedirectTarget(result);
      if (leader.mPort != 0) {
        next.push_front(leader);
      }
      continue;
    }
    answer.mStatus = result.mStatus;
    answer.mBody = ParseJson(result.mBody);
    if (result.mStatus != kHttpUnavailable) {
      return answer;
    }
  }
  return answer;
}

}  // namespace spindleweir
