#include "spindleweir/daemons/answers.h"

#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

constexpr Millis kMillisPerSecond = 1000;
constexpr const char* kJsonType = "application/json";

}  // namespace

Json::Value ErrorBody(const ErrorAnswer& aError) {
  const ResultCodeInfo& info = InfoOf(aError.mCode);
  Json::Value error(Json::objectValue);
  error["code"] = static_cast<int>(info.mCode);
  error["type"] = std::string(info.mName);
  error["message"] =
      aError.mMessage.empty() ? std::string(info.mMeaning) : aError.mMessage;
  error["ran"] = std::string(NameOf(info.mRan));
  if (!aError.mRequest.empty()) {
    error["request"] = aError.mRequest;
  }
  Json::Value body(Json::objectValue);
  body["error"] = error;
  return body;
}

void RequireMethod(const HttpExchange& aExchange, const char* aMethod) {
  if (aExchange.Method() != aMethod) {
    throw Error(ResultCode::kMethodNotAllowed,
                aExchange.Path() + " takes " + aMethod + " only");
  }
}

void ReplyJson(HttpExchange& aExchange, int aStatus, const Json::Value& aBody) {
  aExchange.Reply(aStatus, kJsonType, DumpJson(aBody));
}

void ReplyError(HttpExchange& aExchange, const ErrorAnswer& aError) {
  if (aError.mRetryAfter > 0) {
    const Millis seconds =
        (aError.mRetryAfter + kMillisPerSecond - 1) / kMillisPerSecond;
    aExchange.AddHeader("Retry-After", std::to_string(seconds));
  }
  ReplyJson(aExchange, InfoOf(aError.mCode).mHttpStatus, ErrorBody(aError));
}

}  // namespace spindleweir
