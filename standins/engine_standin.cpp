#include "standins/engine_standin.h"

#include <algorithm>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/daemons/answers.h"
#include "standins/expected_answer.h"

namespace spindleweir {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;
constexpr double kMicrosPerMilli = 1000;
constexpr double kMaxTimerLagMillis = 4;
constexpr Millis kFrozenRetryInterval = 20;

/// Notifies the first engine of a chain that the last one produced a token.
struct TokenAck {
  std::string mRequest;
  int mAttempt = 0;
  int mIndex = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("request", mRequest);
    aCodec.Required("attempt", mAttempt);
    aCodec.Required("index", mIndex);
  }
};

/// Faults for tests: corrupt answers, slow steps, a freeze, or a report that
/// the engine is leaving.
struct FaultMessage {
  std::string mCorrupt;
  double mSlowdown = 1;
  bool mLeaving = false;
  Millis mFreeze = 0;  ///< Duration without answers or steps.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("freeze_ms", mFreeze);
    aCodec.Field("corrupt", mCorrupt);
    aCodec.Field("slowdown", mSlowdown);
    aCodec.Field("leaving", mLeaving);
  }
};

}  // namespace

/// An attempt at a request on this engine.
struct EngineStandin::Stream {
  ChainJob mJob;
  std::shared_ptr<HttpExchange> mExchange;
  std::unique_ptr<HttpCall> mPreviousStage;  ///< Call to the previous stage.
  std::string mPartialLine;                  ///< An incomplete line.
  bool mLastFrameArrived = false;            ///< From the previous stage.

  const ChainHop& Hop() const {
    return mJob.mChain[static_cast<std::size_t>(mJob.mPosition)];
  }
  bool IsFirst() const { return mJob.mPosition == 0; }
  bool IsLast() const {
    return mJob.mPosition + 1 == static_cast<int>(mJob.mChain.size());
  }
};

EngineStandin::EngineStandin(EventLoop& aLoop, EngineStandinOptions aOptions)
    : mLoop(aLoop),
      mOptions(std::move(aOptions)),
      mClient(aLoop),
      mRecord(mOptions.mRecord, mOptions.mVm) {
  mReport.mEngine = mOptions.mVm;
  mReport.mZone = mOptions.mZone;
  mReport.mAccelerator = mOptions.mAccelerator;
  mReport.mMemoryLayers = mOptions.mMemoryLayers;
  mReport.mLayerMicros = mOptions.mLayerMicros;
  mReport.mBatch = mOptions.mBatch;
  mReport.mIncarnation = WallNow();
  mServer = std::make_unique<HttpServer>(
      aLoop,
      HttpServerOptions{
          .mListen = mOptions.mListen,
          .mMaximumBodyBytes = std::size_t{16} * 1024 * 1024,
          .mHandle = [this](const std::shared_ptr<HttpExchange>& aExchange) {
            Handle(aExchange);
          }});
}

EngineStandin::~EngineStandin() = default;

void EngineStandin::Handle(const std::shared_ptr<HttpExchange>& aExchange) {
  const std::string& path = aExchange->Path();
  if (mFreezeTimer != nullptr) {
    mHeldExchanges.push_back(aExchange);
    return;
  }
  try {
    if (path == "/v1/report") {
      HandleReport(*aExchange);
    } else if (path == "/v1/orders") {
      HandleOrder(*aExchange);
    } else if (path == "/v1/stages/run") {
      StartStream(aExchange);
    } else if (path == "/v1/stages/ack") {
      HandleTokenAck(*aExchange);
    } else if (path == "/v1/faults") {
      HandleFault(*aExchange);
    } else {
      throw Error(ResultCode::kNotFound, path);
    }
  } catch (const Error& error) {
    ReplyError(*aExchange, {.mCode = error.Code(), .mMessage = error.what()});
  }
}

void EngineStandin::HandleReport(HttpExchange& aExchange) {
  const Millis now = SteadyNow();
  mSamples.push_back({now, static_cast<int>(mStreams.size())});
  while (mSamples.size() > 1 && mSamples[1].mAt <= now - mOptions.mReportLag) {
    mSamples.pop_front();
  }
  mReport.mQueue = mSamples.front().mQueue;
  ReplyJson(aExchange, kHttpOk, ToJson(mReport));
}

void EngineStandin::HandleOrder(HttpExchange& aExchange) {
  const auto order = FromJson<EngineOrderMessage>(ParseJson(aExchange.Body()));
  if (mOptions.mChecksFence && order.mEpoch < mReport.mEpoch) {
    aExchange.Reply(kHttpConflict, "application/json", "{}");
    return;
  }
  mReport.mEpoch = std::max(mReport.mEpoch, order.mEpoch);
  Json::Value fields = ToJson(order);
  mRecord.Write("order", fields);
  mReport.mModel.clear();
  mReport.mFirst = 0;
  mReport.mLast = 0;
  mReport.mLoading = order.mKind == "load";
  const std::map<std::string, std::shared_ptr<Stream>> streams = mStreams;
  for (const auto& [request, stream] : streams) {
    FailStream(stream, "the engine changes its layers", mOptions.mVm);
  }
  if (order.mKind == "load") {
    mLoadTimer = mLoop.After(mOptions.mLoadMillis, [this, order] {
      mReport.mLoading = false;
      mReport.mModel = order.mModel;
      mReport.mVersion = order.mVersion;
      mReport.mFirst = order.mFirst;
      mReport.mLast = order.mLast;
    });
  }
  ReplyJson(aExchange, kHttpOk, Json::Value(Json::objectValue));
}

void EngineStandin::StartStream(
    const std::shared_ptr<HttpExchange>& aExchange) {
  const auto stream = std::make_shared<Stream>();
  stream->mJob = FromJson<ChainJob>(ParseJson(aExchange->Body()));
  stream->mExchange = aExchange;
  const ChainHop& hop = stream->Hop();
  const bool holds = hop.mEngine == mOptions.mVm &&
                     mReport.mModel == stream->mJob.mModel &&
                     mReport.mFirst == hop.mFirst &&
                     mReport.mLast == hop.mLast && !mReport.mLoading;
  if (!holds) {
    throw Error(ResultCode::kNoUpstream, "these layers are not loaded here");
  }
  const std::string request = stream->mJob.mRequest;
  const auto known = mStreams.find(request);
  if (known != mStreams.end()) {
    if (known->second->mJob.mAttempt > stream->mJob.mAttempt) {
      throw Error(ResultCode::kVersionConflict, "an older attempt");
    }
    RemoveStream(request);
  }
  mStreams[request] = stream;
  const std::weak_ptr<Stream> weak = stream;
  aExchange->OnClosed([this, weak, request] {
    const std::shared_ptr<Stream> held = weak.lock();
    const auto it = mStreams.find(request);
    if (held != nullptr && it != mStreams.end() && it->second == held) {
      RemoveStream(request);
    }
  });
  aExchange->StartStream(kHttpOk, "application/x-ndjson");
  if (stream->IsFirst()) {
    StartToken(stream, static_cast<int>(stream->mJob.mDelivered.size()));
  } else {
    CallPreviousStage(stream);
  }
}

void EngineStandin::CallPreviousStage(const std::shared_ptr<Stream>& aStream) {
  ChainJob job = aStream->mJob;
  job.mPosition--;
  const ChainHop before = job.mChain[static_cast<std::size_t>(job.mPosition)];
  HttpCallOptions options;
  options.mServer = ParseEndpoint(before.mAddress, "engine");
  options.mMethod = "POST";
  options.mPath = "/v1/stages/run";
  options.mBody = DumpJson(ToJson(job));
  options.mTimeout = 0;
  options.mMaximumAnswerBytes = std::size_t{1} << 40;
  const std::weak_ptr<Stream> weak = aStream;
  options.mOnData = [this, weak](std::string_view aBytes) {
    const std::shared_ptr<Stream> stream = weak.lock();
    if (stream == nullptr) {
      return;
    }
    stream->mPartialLine += aBytes;
    for (std::size_t end = stream->mPartialLine.find('\n');
         end != std::string::npos; end = stream->mPartialLine.find('\n')) {
      const std::string line = stream->mPartialLine.substr(0, end);
      stream->mPartialLine.erase(0, end + 1);
      const auto activation = FromJson<Activation>(ParseJson(line));
      stream->mLastFrameArrived = activation.mFrame.mLast;
      Enqueue(stream, activation);
    }
  };
  options.mOnDone = [this, weak, name = before.mEngine](const HttpResult&) {
    const std::shared_ptr<Stream> stream = weak.lock();
    if (stream != nullptr && !stream->mLastFrameArrived &&
        !stream->mExchange->Closed()) {
      // A stream that ends before its last frame has failed.
      FailStream(stream, "the stage before ended", name);
    }
  };
  aStream->mPreviousStage = mClient.Start(std::move(options));
}

void EngineStandin::StartToken(const std::shared_ptr<Stream>& aStream,
                               int aIndex) {
  if (aIndex >= aStream->mJob.mMaximumTokens) {
    return;
  }
  Activation activation;
  activation.mFrame.mRequest = aStream->mJob.mRequest;
  activation.mFrame.mAttempt = aStream->mJob.mAttempt;
  activation.mFrame.mIndex = aIndex;
  activation.mFrame.mLast = aIndex + 1 == aStream->mJob.mMaximumTokens;
  activation.mValue = FirstActivation(aStream->mJob.mPrompt, aIndex);
  Enqueue(aStream, activation);
}

void EngineStandin::Enqueue(const std::shared_ptr<Stream>& aStream,
                            const Activation& aActivation) {
  if (!aActivation.mFrame.mError.empty()) {
    FailStream(aStream, aActivation.mFrame.mError, aActivation.mFrame.mFailed);
    return;
  }
  mQueue.push_back({aStream, aActivation});
  StartStep();
}

void EngineStandin::StartStep() {
  if (mFreezeTimer != nullptr) {
    return;
  }
  if (mStepTimer != nullptr || mQueue.empty()) {
    return;
  }
  const auto maxBatch = static_cast<std::size_t>(mOptions.mBatch);
  while (!mQueue.empty() && mBatch.size() < maxBatch) {
    if (!mQueue.front().mStream.expired()) {
      mBatch.push_back(std::move(mQueue.front()));
    }
    mQueue.pop_front();
  }
  if (mBatch.empty()) {
    return;
  }
  const double micros =
      mOptions.mLayerMicros * (mReport.mLast - mReport.mFirst) * mSlowdown;
  // If a timer fires late by less than kMaxTimerLagMillis, the next step counts
  // from the due time of the previous one, so that lags don't add up.
  const auto now = static_cast<double>(SteadyNow());
  const double start = now - mStepEnd < kMaxTimerLagMillis ? mStepEnd : now;
  mStepEnd = start + micros / kMicrosPerMilli;
  const auto millis = static_cast<Millis>(std::max(0.0, mStepEnd - now));
  // Reports state the nominal time: a slow engine isn't aware of its slowdown.
  mReport.mStepMillis = mOptions.mLayerMicros *
                        (mReport.mLast - mReport.mFirst) / kMicrosPerMilli;
  mStepTimer = mLoop.After(millis, [this] { FinishStep(); });
}

void EngineStandin::FinishStep() {
  mStepTimer.reset();
  if (mFreezeTimer != nullptr) {
    mStepTimer = mLoop.After(kFrozenRetryInterval, [this] { FinishStep(); });
    return;
  }
  const std::vector<WorkItem> batch = std::move(mBatch);
  mBatch.clear();
  for (const WorkItem& item : batch) {
    const std::shared_ptr<Stream> stream = item.mStream.lock();
    if (stream != nullptr && !stream->mExchange->Closed()) {
      SendToken(stream, item.mActivation);
    }
  }
  StartStep();
}

void EngineStandin::SendToken(const std::shared_ptr<Stream>& aStream,
                              Activation aActivation) {
  const ChainHop hop = aStream->Hop();
  TokenFrame& frame = aActivation.mFrame;
  if (frame.mLayers != hop.mFirst) {
    FailStream(aStream, "layers out of order", mOptions.mVm);
    return;
  }
  for (int layer = hop.mFirst; layer < hop.mLast; layer++) {
    aActivation.mValue = RunLayer(aActivation.mValue, layer);
  }
  frame.mLayers = hop.mLast;
  frame.mText = TokenText(aActivation.mValue);
  if (mRecord.IsOpen()) {
    Json::Value fields(Json::objectValue);
    fields["request"] = frame.mRequest;
    fields["attempt"] = frame.mAttempt;
    fields["index"] = frame.mIndex;
    fields["first"] = hop.mFirst;
    fields["last"] = hop.mLast;
    mRecord.Write("layers", fields);
  }
  Activation sent = aActivation;
  if (mCorrupt == "swap") {
    sent.mFrame.mRequest += "-other";
  } else if (mCorrupt == "skip") {
    sent.mFrame.mIndex++;
  } else if (mCorrupt == "old") {
    sent.mFrame.mAttempt--;
  } else if (mCorrupt == "layers") {
    sent.mFrame.mLayers--;
  }
  const std::string line = DumpJson(ToJson(sent)) + "\n";
  aStream->mExchange->Write(mCorrupt == "double" ? line + line : line);
  if (aStream->IsLast() && !frame.mLast) {
    const TokenAck ack{frame.mRequest, frame.mAttempt, frame.mIndex};
    if (aStream->IsFirst()) {
      StartToken(aStream, frame.mIndex + 1);
    } else {
      HttpCallOptions options;
      options.mServer =
          ParseEndpoint(aStream->mJob.mChain.front().mAddress, "engine");
      options.mMethod = "POST";
      options.mPath = "/v1/stages/ack";
      options.mBody = DumpJson(ToJson(ack));
      mClient.StartDetached(std::move(options));
    }
  }
  if (frame.mLast) {
    aStream->mExchange->EndStream();
    RemoveStream(frame.mRequest);
  }
}

void EngineStandin::HandleTokenAck(HttpExchange& aExchange) {
  const auto ack = FromJson<TokenAck>(ParseJson(aExchange.Body()));
  const auto it = mStreams.find(ack.mRequest);
  if (it != mStreams.end() && it->second->mJob.mAttempt == ack.mAttempt) {
    StartToken(it->second, ack.mIndex + 1);
  }
  ReplyJson(aExchange, kHttpOk, Json::Value(Json::objectValue));
}

void EngineStandin::FailStream(const std::shared_ptr<Stream>& aStream,
                               const std::string& aReason,
                               const std::string& aFailed) {
  Activation broken;
  broken.mFrame.mRequest = aStream->mJob.mRequest;
  broken.mFrame.mAttempt = aStream->mJob.mAttempt;
  broken.mFrame.mError = aReason;
  broken.mFrame.mFailed = aFailed;
  aStream->mExchange->Write(DumpJson(ToJson(broken)) + "\n");
  aStream->mExchange->EndStream();
  const auto it = mStreams.find(aStream->mJob.mRequest);
  if (it != mStreams.end() && it->second == aStream) {
    RemoveStream(aStream->mJob.mRequest);
  }
}

void EngineStandin::RemoveStream(const std::string& aRequest) {
  const auto it = mStreams.find(aRequest);
  if (it == mStreams.end()) {
    return;
  }
  const std::shared_ptr<Stream> stream = it->second;
  mStreams.erase(it);
  if (!stream->mExchange->Closed()) {
    stream->mExchange->EndStream();
  }
  // The call to the previous stage may be on the stack.
  mLoop.Post([stream] { stream->mPreviousStage.reset(); });
}

void EngineStandin::HandleFault(HttpExchange& aExchange) {
  const auto fault = FromJson<FaultMessage>(ParseJson(aExchange.Body()));
  mCorrupt = fault.mCorrupt;
  mSlowdown = fault.mSlowdown;
  mReport.mLeaving = fault.mLeaving;
  if (fault.mFreeze > 0) {
    mFreezeTimer = mLoop.After(fault.mFreeze, [this] { Unfreeze(); });
  }
  ReplyJson(aExchange, kHttpOk, Json::Value(Json::objectValue));
}

void EngineStandin::Unfreeze() {
  mFreezeTimer.reset();
  const std::vector<std::shared_ptr<HttpExchange>> held =
      std::move(mHeldExchanges);
  mHeldExchanges.clear();
  for (const std::shared_ptr<HttpExchange>& exchange : held) {
    Handle(exchange);
  }
  StartStep();
}

}  // namespace spindleweir
