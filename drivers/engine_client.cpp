#include "spindleweir/drivers/engine_client.h"

#include "drivers/frame_reader.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;
constexpr Millis kOrderTimeout = 2000;

}  // namespace

std::unique_ptr<HttpCall> EngineClient::Run(const ChainJob& aJob,
                                            ChainHooks aHooks) {
  const auto reader = std::make_shared<FrameReader>(std::move(aHooks.mOnFrame));
  HttpCallOptions options;
  options.mServer = ParseEndpoint(
      aJob.mChain[static_cast<std::size_t>(aJob.mPosition)].mAddress, "engine");
  options.mMethod = "POST";
  options.mPath = "/v1/stages/run";
  options.mBody = DumpJson(ToJson(aJob));
  options.mTimeout = 0;
  options.mMaximumAnswerBytes = std::size_t{1} << 40;
  options.mOnData = [reader](std::string_view aBytes) {
    reader->Append(aBytes);
  };
  options.mOnDone = std::move(aHooks.mOnEnd);
  return mClient.Start(std::move(options));
}

void EngineClient::GetReport(const Endpoint& aEngine, Millis aTimeout,
                             std::function<void(const EngineReport*)> aDone) {
  HttpCallOptions options;
  options.mServer = aEngine;
  options.mPath = "/v1/report";
  options.mTimeout = aTimeout;
  options.mOnDone = [done = std::move(aDone)](const HttpResult& aResult) {
    if (!aResult.mComplete || aResult.mStatus != kHttpOk) {
      done(nullptr);
      return;
    }
    try {
      const auto report = FromJson<EngineReport>(ParseJson(aResult.mBody));
      done(&report);
    } catch (const Error&) {
      done(nullptr);
    }
  };
  mClient.StartDetached(std::move(options));
}

void EngineClient::SendOrder(const Endpoint& aEngine, const EngineOrder& aOrder,
                             std::int64_t aEpoch,
                             std::function<void(bool)> aDone) {
  EngineOrderMessage message{.mEpoch = aEpoch};
  message.mKind = aOrder.mKind == OrderKind::kLoad ? "load" : "drop";
  message.mModel = aOrder.mStage.mModel;
  message.mVersion = aOrder.mStage.mVersion;
  message.mFirst = aOrder.mStage.mFirst;
  message.mLast = aOrder.mStage.mLast;
  HttpCallOptions options;
  options.mServer = aEngine;
  options.mMethod = "POST";
  options.mPath = "/v1/orders";
  options.mBody = DumpJson(ToJson(message));
  options.mTimeout = kOrderTimeout;
  options.mOnDone = [done = std::move(aDone)](const HttpResult& aResult) {
    done(aResult.mComplete && aResult.mStatus == kHttpOk);
  };
  mClient.StartDetached(std::move(options));
}

}  // namespace spindleweir
