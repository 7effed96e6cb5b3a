/// Sends orders to engines, at a limited rate: the process that sends them also
/// answers voters and routers.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "daemons/control/control_context.h"
#include "spindleweir/daemons/order_messages.h"
#include "spindleweir/drivers/stream_client.h"

namespace spindleweir {

/// Queues orders and sends kOrdersPerStep of them in each step.
class OrderSender {
 public:
  struct Hooks {
    /// Called right before an order is sent: whether its term is still current
    /// and the engine has not restarted since. If not, the order is dropped.
    std::function<bool(const ForwardedOrder&, std::int64_t aFence)> mIsCurrent;
    /// Called with the HTTP status of an engine's answer.
    std::function<void(const ForwardedOrder&, int aStatus)> mOnAnswered;
  };

  OrderSender(ControlContext& aContext, Hooks aHooks)
      : mContext(aContext), mHooks(std::move(aHooks)) {}

  void Send(const ForwardedOrder& aOrder, std::int64_t aFence);

 private:
  struct Waiting {
    ForwardedOrder mOrder;
    std::int64_t mFence = 0;
  };
  struct Running {
    std::unique_ptr<StreamCall> mCall;
    bool mEnded = false;
  };

  void Step();
  void Start(const Waiting& aWaiting);

  ControlContext& mContext;
  Hooks mHooks;
  std::deque<Waiting> mWaiting;
  std::map<std::string, Running> mRunning;  ///< By instance.
  int mStepBudget = 0;  ///< Orders that may still be sent in this step.
  std::unique_ptr<Timer> mTimer;  ///< Set while orders wait or run.
};

}  // namespace spindleweir
