#include "spindleweir/daemons/router_daemon.h"

#include "daemons/loop_wait_log.h"
#include "daemons/port_file.h"
#include "daemons/router/caller_api.h"
#include "daemons/router/forwarded_request.h"
#include "daemons/router/peer_link.h"
#include "daemons/router/stewardship.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/answers.h"
#include "spindleweir/daemons/upstream_watcher.h"

namespace spindleweir {

namespace {

/// Above the limit of CallerApi, so that a body between the limits gets an
/// error with a result code; a larger one gets the plain 413 of evhttp.
constexpr std::size_t kMaxCallerBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxRpcBodyBytes = 64 * 1024 * 1024;
constexpr Millis kStopCheckInterval = 200;
constexpr Millis kReceiptsTimeout = 5000;

}  // namespace

/// The parts of a router, in the order of their construction.
struct RouterDaemon::Parts {
  Parts(EventLoop& aLoop, RouterOptions aOptions)
      : mContext(aLoop, std::move(aOptions)),
        mWaitLog(aLoop, mContext.mCounters),
        mDispatcher(mContext.mOptions.mClusterKey),
        mPeers(mContext, mDispatcher),
        mStewardship(mContext, mDispatcher),
        mApi(mContext, [this] { return mPeers.OtherRouters(); }),
        mWatcher(aLoop, mContext.mClient, mContext.mView,
                 {.mPlatform = mContext.mOptions.mPlatform}),
        mRpcServer(aLoop,
                   {.mListen = mContext.mOptions.mRpcListen,
                    .mMaximumBodyBytes = kMaxRpcBodyBytes,
                    .mHandle =
                        [this](const std::shared_ptr<HttpExchange>& aExchange) {
                          HandleRpc(aExchange);
                        }}),
        mCallerServer(
            aLoop, {.mListen = mContext.mOptions.mListen,
                    .mMaximumBodyBytes = kMaxCallerBodyBytes,
                    .mHandle =
                        [this](const std::shared_ptr<HttpExchange>& aExchange) {
                          mApi.Handle(aExchange);
                        }}),
        mPortFile(aLoop, mContext.mOptions.mPortFile,
                  {{"listen", mCallerServer.Address()},
                   {"rpc", mRpcServer.Address()}}) {}

  /// Handles a message of a control or a router, or a caller's request that
  /// another router has handed on.
  void HandleRpc(const std::shared_ptr<HttpExchange>& aExchange);
  /// Continues a planned stop, once new requests are rejected: waits for open
  /// requests and receipts, stops listening, then ends the event loop.
  void ContinueStop();
  /// True if receipts are pending and kReceiptsTimeout has not passed. The
  /// timeout is for the case that all control processes are stopped too.
  bool AwaitsReceipts();

  RouterContext mContext;
  LoopWaitLog mWaitLog;
  RpcDispatcher mDispatcher;
  PeerLink mPeers;
  Stewardship mStewardship;
  CallerApi mApi;
  UpstreamWatcher mWatcher;
  HttpServer mRpcServer;
  HttpServer mCallerServer;
  PortFile mPortFile;
  std::unique_ptr<Timer> mStopTimer;
  std::unique_ptr<Timer> mDrainTimer;
  std::unique_ptr<Timer> mRejectTimer;
  Millis mIdleSince = 0;  ///< At a stop: end of the last request; 0: not yet.
  bool mListening = true;
};

void RouterDaemon::Parts::HandleRpc(
    const std::shared_ptr<HttpExchange>& aExchange) {
  const std::string_view key =
      aExchange->Header(ForwardedRequest::kClusterKeyHeader);
  if (!key.empty() && key == mContext.mOptions.mClusterKey) {
    mApi.Handle(aExchange, CallerApi::Origin::kRouter);
    return;
  }
  mDispatcher.Handle(aExchange);
}

bool RouterDaemon::Parts::AwaitsReceipts() {
  mIdleSince = mIdleSince == 0 ? SteadyNow() : mIdleSince;
  const bool expired = SteadyNow() - mIdleSince > kReceiptsTimeout;
  return mContext.mOutbox.Size() > 0 && !expired;
}

void RouterDaemon::Parts::ContinueStop() {
  if (!mContext.mRejectingRequests) {
    return;
  }
  // A request on an idle connection would get no answer once the process ends.
  mCallerServer.CloseIdle();
  if (mContext.mOpenRequests.Count() > 0 || AwaitsReceipts()) {
    return;
  }
  if (mListening) {
    // Connections accepted until now are served before the next check.
    mListening = !mCallerServer.StopListening();
    return;
  }
  if (mCallerServer.Connections() > 0) {
    return;
  }
  LogLine(LogLevel::kInfo, "stopped")
      .Add("receipts_left", static_cast<int>(mContext.mOutbox.Size()));
  mContext.mLoop.Stop();
}

RouterDaemon::RouterDaemon(EventLoop& aLoop, RouterOptions aOptions)
    : mParts(std::make_unique<Parts>(aLoop, std::move(aOptions))) {
  mParts->mContext.mEntryVms.Check();
  const RouterOptions& options = mParts->mContext.mOptions;
  LogLine(LogLevel::kInfo, "started")
      .Add("zone", options.mZone)
      .Add("listen", CallerAddress().Text())
      .Add("rpc", RpcAddress().Text());
}

RouterDaemon::~RouterDaemon() = default;

const Endpoint& RouterDaemon::CallerAddress() const {
  return mParts->mCallerServer.Address();
}

const Endpoint& RouterDaemon::RpcAddress() const {
  return mParts->mRpcServer.Address();
}

void RouterDaemon::Stop() {
  RouterContext& context = mParts->mContext;
  if (context.mStopping) {
    return;
  }
  context.mStopping = true;
  context.mReady = false;
  LogLine(LogLevel::kInfo, "stopping")
      .Add("open_requests", context.mOpenRequests.Count());
  mParts->mStewardship.Stop();
  mParts->mCallerServer.SetClosing();
  // Requests are served until the load balancer has noticed that this router
  // is not ready.
  mParts->mRejectTimer =
      context.mLoop.After(context.mOptions.mStopUnready,
                          [&context] { context.mRejectingRequests = true; });
  // Open requests are completed, and their receipts are sent to control.
  mParts->mDrainTimer = context.mLoop.Every(kStopCheckInterval,
                                            [this] { mParts->ContinueStop(); });
  mParts->mStopTimer =
      context.mLoop.After(context.mOptions.mStopGrace, [&context] {
        LogLine(LogLevel::kWarning, "stop_grace_over")
            .Add("open_requests", context.mOpenRequests.Count())
            .Add("receipts", static_cast<int>(context.mOutbox.Size()));
        context.mLoop.Stop();
      });
}

}  // namespace spindleweir
