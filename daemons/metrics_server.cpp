#include "spindleweir/daemons/metrics_server.h"

#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

}  // namespace

MetricsServer::MetricsServer(EventLoop& aLoop, MetricsServerOptions aOptions)
    : mOptions(std::move(aOptions)),
      mServer(aLoop,
              {.mListen = mOptions.mListen,
               .mHandle =
                   [this](const std::shared_ptr<StreamExchange>& aExchange) {
                     Handle(*aExchange);
                   },
               .mRefuse =
                   [](StreamExchange& aExchange, ResultCode aCode) {
                     aExchange.Reply(InfoOf(aCode).mHttpStatus, {}, "");
                   }}) {}

void MetricsServer::Handle(StreamExchange& aExchange) {
  if (aExchange.Head().mTarget != "/metrics") {
    aExchange.Reply(kNotFound, {}, "");
    return;
  }
  if (mOptions.mRefresh) {
    mOptions.mRefresh();
  }
  mOptions.mCounters->Set("log_lines_left_out", DroppedLogLines());
  aExchange.Reply(kOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                  mOptions.mCounters->Text());
}

}  // namespace spindleweir
