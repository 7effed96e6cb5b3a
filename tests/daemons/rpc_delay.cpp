#include "tests/daemons/rpc_delay.h"

#include "spindleweir/drivers/rpc_channel.h"

namespace spindleweir {

RpcDelay::RpcDelay(EventLoop& aLoop, Endpoint aControl, RpcDelayHook aDelay)
    : mLoop(aLoop),
      mControl(std::move(aControl)),
      mDelay(std::move(aDelay)),
      mClient(aLoop),
      mServer(
          aLoop,
          {.mListen = {"127.0.0.1", 0},
           .mMaximumBodyBytes = 64 * 1024 * 1024,
           .mHandle = [this](const std::shared_ptr<HttpExchange>& aExchange) {
             Handle(aExchange);
           }}) {}

void RpcDelay::Handle(const std::shared_ptr<HttpExchange>& aExchange) {
  const Millis delay = mDelay(aExchange->Body());
  if (delay == 0) {
    Forward(aExchange);
    return;
  }
  const auto timer = std::make_shared<std::unique_ptr<Timer>>();
  *timer = mLoop.After(delay, [this, timer, aExchange] {
    Forward(aExchange);
    timer->reset();
  });
}

void RpcDelay::Forward(const std::shared_ptr<HttpExchange>& aExchange) {
  HttpCallOptions options;
  options.mServer = mControl;
  options.mMethod = "POST";
  options.mPath = kRpcPath;
  options.mBody = aExchange->Body();
  options.mHeaders = {
      {"Authorization", "Bearer " + std::string(aExchange->BearerKey())},
      {"Content-Type", "application/json"}};
  options.mOnDone = [aExchange](const HttpResult& aResult) {
    const int status = aResult.mComplete ? aResult.mStatus : 502;
    aExchange->Reply(status, "application/json", aResult.mBody);
  };
  mClient.StartDetached(std::move(options));
}

}  // namespace spindleweir
