#include "daemons/router/forwarded_request.h"

#include <strings.h>

#include <algorithm>
#include <utility>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/answers.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;
constexpr std::size_t kMaxPendingBytes = 256 * 1024;
constexpr Millis kBackpressureInterval = 50;
constexpr Millis kRetryAfter = 1000;
/// Headers of the caller's request that the other router needs.
constexpr const char* kRequestHeaders[] = {"Authorization", "Content-Type",
                                           "Idempotency-Key", "X-Priority"};
/// Headers of the other router's answer that the caller gets.
constexpr const char* kAnswerHeaders[] = {"X-Request-Id", "Retry-After",
                                          "Idempotent-Replayed"};

std::string ValueOf(const std::vector<HttpHeader>& aHeaders,
                    const char* aName) {
  const auto it = std::find_if(
      aHeaders.begin(), aHeaders.end(), [aName](const HttpHeader& aHeader) {
        return strcasecmp(aHeader.mName.c_str(), aName) == 0;
      });
  return it == aHeaders.end() ? "" : it->mValue;
}

}  // namespace

ForwardedRequest::ForwardedRequest(RouterContext& aContext,
                                   CallerRequest aRequest,
                                   std::vector<Endpoint> aRouters,
                                   bool aStreams)
    : mContext(aContext),
      mRequest(std::move(aRequest)),
      mRouters(std::move(aRouters)),
      mStreams(aStreams) {}

void ForwardedRequest::Begin() {
  mContext.mOpenRequests.Add(shared_from_this());
  mContext.mCounters.Add("requests_forwarded");
  mRequest.mExchange->OnClosed([this] { End(); });
  TryNext();
}

void ForwardedRequest::TryNext() {
  const bool late = mRequest.mDeadline > 0 && mRequest.mDeadline <= SteadyNow();
  if (mRouters.empty() || late) {
    Fail(late ? ResultCode::kDeadlineTooShort : ResultCode::kNoUpstream);
    return;
  }
  const Endpoint router = mRouters.front();
  mRouters.erase(mRouters.begin());
  LogLine(LogLevel::kInfo, "forwarded")
      .Add("request", mRequest.mId)
      .Add("router", router.Text());
  mCall = mContext.mClient.Start(Options(router));
}

HttpCallOptions ForwardedRequest::Options(const Endpoint& aRouter) {
  const HttpExchange& exchange = *mRequest.mExchange;
  HttpCallOptions options;
  options.mServer = aRouter;
  options.mMethod = exchange.Method();
  options.mPath = exchange.Path();
  options.mBody = exchange.Body();
  options.mHeaders = {{kClusterKeyHeader, mContext.mOptions.mClusterKey}};
  for (const char* name : kRequestHeaders) {
    const std::string value(exchange.Header(name));
    if (!value.empty()) {
      options.mHeaders.push_back({name, value});
    }
  }
  options.mTimeout = 0;
  if (mRequest.mDeadline > 0) {
    options.mTimeout = mRequest.mDeadline - SteadyNow();
    options.mHeaders.push_back(
        {"X-Deadline-Ms", std::to_string(options.mTimeout)});
  }
  // On a connection that was used before, a lost call may have been read.
  options.mNewConnection = true;
  if (mStreams) {
    options.mOnData = [self = weak_from_this()](std::string_view aBytes) {
      if (const auto request = self.lock()) {
        request->HandleData(aBytes);
      }
    };
  }
  options.mOnDone = [self = weak_from_this()](const HttpResult& aResult) {
    if (const auto request = self.lock()) {
      request->HandleResult(aResult);
    }
  };
  return options;
}

void ForwardedRequest::HandleData(std::string_view aBytes) {
  if (!mStarted) {
    mStarted = true;
    mRequest.mExchange->AddHeader("Cache-Control", "no-store");
    mRequest.mExchange->StartStream(kHttpOk, "text/event-stream");
  }
  mRequest.mExchange->Write(aBytes);
  ApplyBackpressure();
}

void ForwardedRequest::HandleResult(const HttpResult& aResult) {
  // The call is on the stack: it is destroyed in the next turn of the loop.
  mContext.mLoop.Post([ended = std::shared_ptr<HttpCall>(std::move(mCall))] {});
  const bool unsent = !aResult.mComplete && !aResult.mSent;
  if (!mStarted && (unsent || (IsForOthers(aResult) && !mRouters.empty()))) {
    TryNext();
    return;
  }
  if (!aResult.mComplete) {
    Fail(ResultCode::kOutcomeUnknown);
    return;
  }
  Relay(aResult);
}

bool ForwardedRequest::IsForOthers(const HttpResult& aResult) {
  if (!aResult.mComplete || aResult.mStatus != kHttpUnavailable) {
    return false;
  }
  try {
    return ParseJson(aResult.mBody)["error"]["ran"].asString() ==
           NameOf(Ran::kNo);
  } catch (const std::exception&) {
    // Not an answer of a router.
    return false;
  }
}

void ForwardedRequest::Relay(const HttpResult& aResult) {
  HttpExchange& exchange = *mRequest.mExchange;
  if (mStarted) {
    exchange.EndStream();
    End();
    return;
  }
  for (const char* name : kAnswerHeaders) {
    const std::string value = ValueOf(aResult.mHeaders, name);
    if (!value.empty()) {
      exchange.AddHeader(name, value);
    }
  }
  exchange.Reply(aResult.mStatus, ValueOf(aResult.mHeaders, "Content-Type"),
                 aResult.mBody);
  End();
}

void ForwardedRequest::Fail(ResultCode aCode) {
  const ErrorAnswer error{
      .mCode = aCode,
      .mRequest = mRequest.mId,
      .mRetryAfter = aCode == ResultCode::kNoUpstream ? kRetryAfter : 0};
  if (mStarted) {
    mRequest.mExchange->Write("data: " + DumpJson(ErrorBody(error)) + "\n\n");
    mRequest.mExchange->EndStream();
  } else {
    ReplyError(*mRequest.mExchange, error);
  }
  End();
}

void ForwardedRequest::ApplyBackpressure() {
  const bool full = mRequest.mExchange->PendingBytes() > kMaxPendingBytes;
  if (mCall == nullptr || (!full && mBackpressureTimer == nullptr)) {
    return;
  }
  mCall->Pause(full);
  if (!full) {
    mBackpressureTimer.reset();
    return;
  }
  mBackpressureTimer = mContext.mLoop.After(kBackpressureInterval,
                                            [this] { ApplyBackpressure(); });
}

void ForwardedRequest::End() {
  mRequest.mExchange->OnClosed(nullptr);
  mBackpressureTimer.reset();
  mContext.mLoop.Post([ended = std::shared_ptr<HttpCall>(std::move(mCall))] {});
  // This object may be on the stack.
  mContext.mLoop.Post([self = mContext.mOpenRequests.Remove(this)] {});
}

}  // namespace spindleweir
