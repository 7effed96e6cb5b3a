#include "daemons/control/order_sender.h"

#include "daemons/engine_call.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr Millis kOrderTimeout = 1000;
/// An order takes about 0.2 ms of a core: 5 orders in 20 ms are a third of a
/// small processor. 1,000 orders at once keep a leader from answering voters
/// for 1.5 s.
constexpr Millis kStepInterval = 20;
constexpr int kOrdersPerStep = 5;

}  // namespace

void OrderSender::Send(const ForwardedOrder& aOrder, std::int64_t aFence) {
  mWaiting.push_back({aOrder, aFence});
  if (mTimer == nullptr) {
    mStepBudget = kOrdersPerStep;
    mTimer = mContext.mLoop.Every(kStepInterval, [this] {
      mStepBudget = kOrdersPerStep;
      Step();
    });
  }
  Step();
}

void OrderSender::Step() {
  while (mStepBudget > 0 && !mWaiting.empty()) {
    const Waiting next = std::move(mWaiting.front());
    mWaiting.pop_front();
    if (mHooks.mIsCurrent(next.mOrder, next.mFence)) {
      mStepBudget--;
      Start(next);
    }
  }
  std::erase_if(mRunning,
                [](const auto& aItem) { return aItem.second.mEnded; });
  if (mWaiting.empty() && mRunning.empty()) {
    // Deferred, since this may run within the timer's own callback.
    mContext.mLoop.Post([this] {
      if (mWaiting.empty() && mRunning.empty()) {
        mTimer.reset();
      }
    });
  }
}

void OrderSender::Start(const Waiting& aWaiting) {
  const ForwardedOrder& order = aWaiting.mOrder;
  PlaceOrder place;
  place.mInstance = order.mInstance;
  place.mLayers = order.mLayers;
  place.mFence = aWaiting.mFence;
  StreamCallOptions options =
      MakeEngineCall(mContext.mOptions.mEngines.mWritePlace(place),
                     order.mAddress, kOrderTimeout);
  options.mOnHead = [this, order](const AnswerHead& aHead) {
    LogLine(LogLevel::kInfo, "order_answered")
        .Add("instance", order.mInstance)
        .Add("from", order.mLayers.mFrom)
        .Add("to", order.mLayers.mTo)
        .Add("status", aHead.mStatus);
    mHooks.mOnAnswered(order, aHead.mStatus);
  };
  options.mOnEnd = [this, instance = order.mInstance](StreamEnd) {
    mRunning[instance].mEnded = true;
  };
  mContext.mCounters.Add("orders_sent");
  LogLine(LogLevel::kInfo, "order")
      .Add("instance", order.mInstance)
      .Add("address", order.mAddress)
      .Add("from", order.mLayers.mFrom)
      .Add("to", order.mLayers.mTo)
      .Add("fence", static_cast<Json::Int64>(aWaiting.mFence));
  Running& running = mRunning[order.mInstance];
  running.mEnded = false;
  running.mCall = StartStreamCall(mContext.mLoop, std::move(options));
}

}  // namespace spindleweir
