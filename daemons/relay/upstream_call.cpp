#include "daemons/relay/upstream_call.h"

#include <algorithm>
#include <utility>

namespace spindleweir {

namespace {

/// A connection to a sound upstream takes a round trip; after several of them
/// another router is asked as well.
constexpr Millis kForwardDelay = 40;
constexpr Millis kForwarderConnectTimeout = 150;
/// For a link that counts as lost, if no router forwards the call.
constexpr Millis kLastConnectTimeout = 100;
constexpr std::size_t kMaxForwarders = 3;

}  // namespace

UpstreamCall::UpstreamCall(RelayContext& aContext, std::string aInstance,
                           StreamCallOptions aOptions)
    : mContext(aContext),
      mInstance(std::move(aInstance)),
      mOptions(std::move(aOptions)) {
  Begin();
}

UpstreamCall::~UpstreamCall() {
  UpstreamCall::Abandon();
}

void UpstreamCall::Begin() {
  if (mOptions.mTimeout > 0) {
    mTimer = mContext.mLoop.AfterRunning(mOptions.mTimeout, [this] {
      Finish(Sent() ? StreamEnd::kLost : StreamEnd::kNotSent);
    });
  }
  const Millis now = SteadyNow();
  const bool isLost =
      mContext.mLinks.IsLost(mInstance, now) && !mContext.mForwarders.Empty();
  if (!isLost) {
    StartDirect(mOptions.mConnectTimeout);
    mForwardTimer = mContext.mLoop.AfterRunning(kForwardDelay, [this] {
      if (mForwarder == nullptr) {
        (void)StartForwarder();
      }
    });
    return;
  }
  if (mContext.mLinks.StartTrial(now)) {
    StartTrial();
  }
  (void)StartForwarder();
}

StreamCallOptions UpstreamCall::OptionsOfWay() {
  StreamCallOptions options;
  options.mMethod = mOptions.mMethod;
  options.mTarget = mOptions.mTarget;
  options.mHeaders = mOptions.mHeaders;
  options.mSharedBody =
      mOptions.mBody.empty() ? mOptions.mSharedBody : mOptions.mBody;
  options.mMemory = mOptions.mMemory;
  return options;
}

void UpstreamCall::StartDirect(Millis aConnectTimeout) {
  StreamCallOptions options = OptionsOfWay();
  options.mServer = mOptions.mServer;
  options.mConnectTimeout = aConnectTimeout;
  options.mMaySend = [this] { return MaySendDirectly(); };
  options.mOnHead = mOptions.mOnHead;
  options.mOnData = mOptions.mOnData;
  options.mOnEnd = [this](StreamEnd aEnd) { HandleDirectEnd(aEnd); };
  mDirectState = Direct::kPending;
  mDirectStartedAt = SteadyNow();
  mDirect = mContext.mOptions.mStartCall(mContext.mLoop, std::move(options));
}

void UpstreamCall::StartTrial() {
  StreamCallOptions options;
  options.mServer = mOptions.mServer;
  options.mConnectTimeout = mOptions.mConnectTimeout;
  options.mMaySend = [this] {
    mContext.mLinks.OnConnected(mInstance, SteadyNow());
    mDirectState = Direct::kReady;
    return false;
  };
  options.mOnEnd = [this](StreamEnd) { Release(std::move(mTrial)); };
  mTrial = mContext.mOptions.mStartCall(mContext.mLoop, std::move(options));
}

bool UpstreamCall::MaySendDirectly() {
  mContext.mLinks.OnConnected(mInstance, SteadyNow());
  mContext.mCounters.Add("upstream_connections", "outcome=\"made\"");
  if (mSentByForwarder) {
    mDirectState = Direct::kReady;
    return false;
  }
  mForwardTimer.reset();
  Release(std::move(mForwarder));
  if (mOptions.mMaySend && !mOptions.mMaySend()) {
    mIsHeldBack = true;
    return false;
  }
  mSentDirectly = true;
  return true;
}

void UpstreamCall::HandleDirectEnd(StreamEnd aEnd) {
  Release(std::move(mDirect));
  if (mSentDirectly || mIsHeldBack) {
    Finish(aEnd);
    return;
  }
  if (mDirectState == Direct::kReady) {
    return;
  }
  mDirectState = Direct::kNone;
  mContext.mLinks.OnFailed(mInstance, SteadyNow());
  mContext.mCounters.Add(
      "upstream_connections",
      SteadyNow() - mDirectStartedAt < mOptions.mConnectTimeout
          ? "outcome=\"refused\""
          : "outcome=\"timed_out\"");
  if (mForwarder == nullptr && !StartForwarder()) {
    Finish(StreamEnd::kNotSent);
  }
}

bool UpstreamCall::StartForwarder() {
  mForwardTimer.reset();
  if (!mForwardersListed) {
    mForwardersListed = true;
    mForwarders = mContext.mForwarders.Order(
        mContext.mOptions.mZone, [this] { return mContext.Random(); },
        SteadyNow());
    mForwarders.resize(std::min(mForwarders.size(), kMaxForwarders));
    std::reverse(mForwarders.begin(), mForwarders.end());
  }
  if (mForwarders.empty()) {
    return false;
  }
  mForwarderAddress = std::move(mForwarders.back());
  mForwarders.pop_back();
  mRefusal.reset();
  StreamCallOptions options = OptionsOfWay();
  AddForwardingFacts(
      {.mKey = mContext.mOptions.mClusterKey, .mInstance = mInstance},
      options.mHeaders);
  options.mServer = ParseEndpoint(mForwarderAddress, "address of a forwarder");
  options.mConnectTimeout = kForwarderConnectTimeout;
  options.mMaySend = [this] { return MaySendToForwarder(); };
  options.mOnHead = [this](const AnswerHead& aHead) {
    HandleForwarderHead(aHead);
  };
  options.mOnData = [this](std::string_view aBytes) {
    if (mIsAnswered && mOptions.mOnData) {
      mOptions.mOnData(aBytes);
    }
  };
  options.mOnEnd = [this](StreamEnd aEnd) { HandleForwarderEnd(aEnd); };
  mForwarder = mContext.mOptions.mStartCall(mContext.mLoop, std::move(options));
  return true;
}

bool UpstreamCall::MaySendToForwarder() {
  if (mOptions.mMaySend && !mOptions.mMaySend()) {
    mIsHeldBack = true;
    return false;
  }
  mSentByForwarder = true;
  return true;
}

void UpstreamCall::HandleForwarderHead(const AnswerHead& aHead) {
  AnswerHead head = aHead;
  if (!TakeForwardedMark(head.mHeaders)) {
    mRefusal = ReadForwardingRefusal(head.mHeaders);
    return;
  }
  mIsAnswered = true;
  mContext.mCounters.Add("calls_by_forwarder", "outcome=\"answered\"");
  if (mDirectState != Direct::kReady) {
    mContext.mLinks.OnForwarded(mInstance, SteadyNow());
  }
  Release(std::move(mDirect));
  mDirectState = Direct::kNone;
  if (mOptions.mOnHead) {
    mOptions.mOnHead(head);
  }
}

void UpstreamCall::HandleForwarderEnd(StreamEnd aEnd) {
  Release(std::move(mForwarder));
  if (mIsAnswered || mIsHeldBack) {
    Finish(aEnd);
    return;
  }
  const bool mayHaveRun = mSentByForwarder && !mRefusal.has_value();
  if (mayHaveRun) {
    mContext.mCounters.Add("calls_by_forwarder", "outcome=\"lost\"");
    Finish(StreamEnd::kLost);
    return;
  }
  mContext.mCounters.Add("calls_by_forwarder", "outcome=\"refused\"");
  HandleForwarderRefused();
}

void UpstreamCall::HandleForwarderRefused() {
  mSentByForwarder = false;
  const bool isUnreachable = mRefusal == ForwardingRefusal::kUnreachable ||
                             mRefusal == ForwardingRefusal::kRefused;
  if (isUnreachable) {
    // Others would not reach it either.
    mForwarders.clear();
  } else {
    mContext.mForwarders.OnFailed(mForwarderAddress, SteadyNow());
  }
  if (mDirectState == Direct::kReady) {
    StartDirect(mOptions.mConnectTimeout);
    return;
  }
  if (StartForwarder() || mDirect != nullptr) {
    return;
  }
  if (mDirectStartedAt == 0) {
    // Nobody forwards it: the own link may not be lost after all.
    StartDirect(std::min(mOptions.mConnectTimeout, kLastConnectTimeout));
    return;
  }
  Finish(StreamEnd::kNotSent);
}

void UpstreamCall::Pause(bool aPaused) {
  StreamCall* way = mSentByForwarder ? mForwarder.get() : mDirect.get();
  if (way != nullptr) {
    way->Pause(aPaused);
  }
}

void UpstreamCall::Abandon() {
  mOptions.mOnEnd = nullptr;
  mForwardTimer.reset();
  mTimer.reset();
  for (std::unique_ptr<StreamCall>* way : {&mDirect, &mTrial, &mForwarder}) {
    Release(std::move(*way));
  }
}

void UpstreamCall::Finish(StreamEnd aEnd) {
  const std::function<void(StreamEnd)> call =
      std::exchange(mOptions.mOnEnd, nullptr);
  Abandon();
  if (call) {
    call(aEnd);
  }
}

void UpstreamCall::Release(std::unique_ptr<StreamCall> aCall) {
  if (aCall == nullptr) {
    return;
  }
  aCall->Abandon();
  mContext.mLoop.Post(
      [gone = std::shared_ptr<StreamCall>(std::move(aCall))] {});
}

}  // namespace spindleweir
