#include "spindleweir/drivers/engine_client.h"

#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;
constexpr Millis kOrderTimeout = 2000;
constexpr std::size_t kMaximumLine = 64 * 1024;

/// Cuts a byte stream into lines and reads each as a frame.
class FrameReader {
 public:
  explicit FrameReader(std::function<void(const TokenFrame&)> aOnFrame)
      : mOnFrame(std::move(aOnFrame)) {}

  void Take(std::string_view aBytes) {
    mRest += aBytes;
    std::size_t begin = 0;
    std::vector<TokenFrame> frames;
    for (std::size_t end = mRest.find('\n'); end != std::string::npos;
         end = mRest.find('\n', begin)) {
      frames.push_back(
          Read(std::string_view(mRest).substr(begin, end - begin)));
      begin = end + 1;
    }
    mRest.erase(0, begin);
    if (mRest.size() > kMaximumLine) {
      mRest.clear();
      frames.push_back(Broken("line too long"));
    }
    // The receiver may destroy the call and with it this reader.
    const std::function<void(const TokenFrame&)> receiver = mOnFrame;
    for (const TokenFrame& frame : frames) {
      receiver(frame);
    }
  }

 private:
  static TokenFrame Broken(const std::string& aWhy) {
    TokenFrame frame;
    frame.mError = aWhy;
    return frame;
  }

  static TokenFrame Read(std::string_view aLine) {
    try {
      return FromJson<TokenFrame>(ParseJson(aLine));
    } catch (const Error& error) {
      return Broken(error.what());
    }
  }

  std::function<void(const TokenFrame&)> mOnFrame;
  std::string mRest;
};

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
  options.mOnData = [reader](std::string_view aBytes) { reader->Take(aBytes); };
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
