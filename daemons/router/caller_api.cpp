#include "daemons/router/caller_api.h"

#include <algorithm>
#include <charconv>

#include "daemons/router/completion.h"
#include "daemons/router/forwarded_request.h"
#include "daemons/router/service_call.h"
#include "spindleweir/core/digest.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/answers.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;
constexpr const char* kTextType = "text/plain; charset=utf-8";
constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr std::size_t kMaxIdempotencyKeyLength = 255;
constexpr std::size_t kMaxBodyBytes = 1024 * 1024;
constexpr Millis kMaxDeadline = 3600 * 1000;
constexpr int kMaxPriority = 10;
constexpr Millis kNotReadyRetryAfter = 1000;
constexpr std::size_t kMaxRoutersTried = 3;

/// Parses an integer header. Throws kBadHeader if it is malformed or out of
/// bounds.
std::int64_t ParseNumberHeader(std::string_view aText, const char* aHeader,
                               std::int64_t aMin, std::int64_t aMax) {
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, ec] = std::from_chars(aText.data(), end, number);
  if (ec != std::errc() || stop != end || number < aMin || number > aMax) {
    throw Error(ResultCode::kBadHeader,
                std::string(aHeader) + " must be an integer from " +
                    std::to_string(aMin) + " to " + std::to_string(aMax));
  }
  return number;
}

void CheckIdempotencyKey(std::string_view aKey) {
  const bool printable = std::all_of(
      aKey.begin(), aKey.end(),
      [](unsigned char aByte) { return aByte >= 0x20 && aByte < 0x7f; });
  if (aKey.size() > kMaxIdempotencyKeyLength || !printable) {
    throw Error(ResultCode::kBadHeader,
                "Idempotency-Key must be at most 255 printable characters");
  }
}

}  // namespace

CallerApi::CallerApi(RouterContext& aContext,
                     std::function<std::vector<Endpoint>()> aOtherRouters)
    : mContext(aContext),
      mOtherRouters(std::move(aOtherRouters)),
      mClaims(aContext) {}

void CallerApi::Handle(const std::shared_ptr<HttpExchange>& aExchange,
                       Origin aOrigin) {
  try {
    Route(aExchange, aOrigin);
  } catch (const Error& error) {
    mContext.mCounters.Add(
        "requests", "code=\"" + std::string(InfoOf(error.Code()).mName) + "\"");
    const bool temporary = error.Code() == ResultCode::kNotReady ||
                           error.Code() == ResultCode::kStopping;
    ReplyError(*aExchange,
               {.mCode = error.Code(),
                .mMessage = error.what(),
                .mRetryAfter = temporary ? kNotReadyRetryAfter : 0});
  }
}

void CallerApi::Route(const std::shared_ptr<HttpExchange>& aExchange,
                      Origin aOrigin) {
  if (aExchange->Body().size() > kMaxBodyBytes) {
    throw Error(ResultCode::kBodyTooLarge,
                "request body must be at most 1048576 bytes");
  }
  const std::string& path = aExchange->Path();
  if (path == "/healthz") {
    RequireMethod(*aExchange, "GET");
    aExchange->Reply(kHttpOk, kTextType, "ok\n");
  } else if (path == "/readyz") {
    RequireMethod(*aExchange, "GET");
    if (mContext.mStopping) {
      throw Error(ResultCode::kStopping, "stopping");
    }
    if (!mContext.mReady) {
      throw Error(ResultCode::kNotReady, "no accepted configuration yet");
    }
    aExchange->Reply(kHttpOk, kTextType, "ready\n");
  } else if (path == "/metrics") {
    RequireMethod(*aExchange, "GET");
    mContext.mCounters.Set("open_requests", mContext.mOpenRequests.Count());
    mContext.mCounters.Set("queued_requests", static_cast<std::int64_t>(
                                                  mContext.mLimiter.Queued()));
    mContext.mCounters.Set("receipts_lost", mContext.mOutbox.Lost());
    mContext.mCounters.Set("rpc_sent_bytes", mContext.mRpc.SentBytes());
    aExchange->Reply(kHttpOk, "text/plain; version=0.0.4",
                     mContext.mCounters.Text());
  } else if (path == "/v1/models") {
    RequireMethod(*aExchange, "GET");
    ListModels(aExchange);
  } else if (path == "/v1/chat/completions" || path == "/v1/completions") {
    RequireMethod(*aExchange, "POST");
    const bool isChat = path == "/v1/chat/completions";
    const bool isForwarded =
        aOrigin == Origin::kCaller &&
        Forward(aExchange, ReadCompletion(aExchange->Body(), isChat).mStream);
    if (!isForwarded) {
      StartCompletion(aExchange, isChat);
    }
  } else if (path.starts_with(kServicePrefix)) {
    if (aOrigin == Origin::kRouter || !Forward(aExchange, false)) {
      StartService(aExchange);
    }
  } else {
    throw Error(ResultCode::kNotFound, "unknown path " + path);
  }
}

bool CallerApi::Forward(const std::shared_ptr<HttpExchange>& aExchange,
                        bool aStreams) {
  if (!mContext.mView.IsCutOff(mContext.mLoop.RunningNow())) {
    return false;
  }
  std::vector<Endpoint> routers = mOtherRouters();
  if (routers.empty()) {
    return false;
  }
  routers.resize(std::min(routers.size(), kMaxRoutersTried));
  std::make_shared<ForwardedRequest>(mContext, CheckRequest(aExchange),
                                     std::move(routers), aStreams)
      ->Begin();
  return true;
}

CallerRequest CallerApi::CheckRequest(
    const std::shared_ptr<HttpExchange>& aExchange) {
  if (mContext.mRejectingRequests) {
    throw Error(ResultCode::kStopping, "router is stopping");
  }
  if (!mContext.mReady && !mContext.mStopping) {
    throw Error(ResultCode::kNotReady, "no accepted configuration yet");
  }
  const WorkspaceSpec* workspace =
      FindWorkspaceByKey(mContext.AcceptedConfiguration().mIntent,
                         Sha256Hex(aExchange->BearerKey()));
  if (workspace == nullptr) {
    throw Error(ResultCode::kUnauthorized, "bearer key is unknown");
  }
  CallerRequest request;
  request.mWorkspace = *workspace;
  request.mExchange = aExchange;
  request.mStarted = SteadyNow();
  request.mIdempotencyKey = aExchange->Header("Idempotency-Key");
  CheckIdempotencyKey(request.mIdempotencyKey);
  const std::string_view deadline = aExchange->Header("X-Deadline-Ms");
  if (!deadline.empty()) {
    request.mDeadline =
        request.mStarted +
        ParseNumberHeader(deadline, "X-Deadline-Ms", 1, kMaxDeadline);
  }
  const std::string_view priority = aExchange->Header("X-Priority");
  if (!priority.empty()) {
    request.mPriority = static_cast<int>(
        ParseNumberHeader(priority, "X-Priority", -kMaxPriority, kMaxPriority));
  }
  request.mId = mContext.NextRequestId();
  return request;
}

void CallerApi::StartCompletion(const std::shared_ptr<HttpExchange>& aExchange,
                                bool aChat) {
  CallerRequest request = CheckRequest(aExchange);
  CompletionBody body = ReadCompletion(aExchange->Body(), aChat);
  const ModelSpec* model =
      FindModel(mContext.AcceptedConfiguration().mIntent, body.mModel);
  if (model == nullptr) {
    throw Error(ResultCode::kUnknownModel, "unknown model " + body.mModel);
  }
  if (!Allows(request.mWorkspace.mModels, body.mModel)) {
    throw Error(ResultCode::kForbidden, "workspace " +
                                            request.mWorkspace.mName +
                                            " may not use " + body.mModel);
  }
  std::make_shared<Completion>(mContext, mClaims, std::move(request),
                               std::move(body), *model)
      ->Begin();
}

void CallerApi::StartService(const std::shared_ptr<HttpExchange>& aExchange) {
  CallerRequest request = CheckRequest(aExchange);
  const std::string_view rest =
      std::string_view(aExchange->Path()).substr(kServicePrefix.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  const std::string name(rest.substr(0, slash));
  const ServiceSpec* service =
      FindService(mContext.AcceptedConfiguration().mIntent, name);
  if (service == nullptr) {
    throw Error(ResultCode::kNotFound, "unknown service " + name);
  }
  if (!Allows(request.mWorkspace.mServices, name)) {
    throw Error(
        ResultCode::kForbidden,
        "workspace " + request.mWorkspace.mName + " may not use " + name);
  }
  std::string path(rest.substr(slash));
  if (path.empty()) {
    path = "/";
  }
  std::make_shared<ServiceCall>(mContext, mClaims, std::move(request), *service,
                                std::move(path))
      ->Begin();
}

void CallerApi::ListModels(const std::shared_ptr<HttpExchange>& aExchange) {
  const CallerRequest request = CheckRequest(aExchange);
  Json::Value list(Json::objectValue);
  list["object"] = "list";
  list["data"] = Json::Value(Json::arrayValue);
  for (const ModelSpec& model :
       mContext.AcceptedConfiguration().mIntent.mModels) {
    if (!Allows(request.mWorkspace.mModels, model.mName)) {
      continue;
    }
    Json::Value item(Json::objectValue);
    item["id"] = model.mName;
    item["object"] = "model";
    item["created"] = 0;
    item["owned_by"] = "spindleweir";
    list["data"].append(item);
  }
  ReplyJson(*aExchange, kHttpOk, list);
}

}  // namespace spindleweir
