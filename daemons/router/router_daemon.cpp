#include "spindleweir/daemons/router_daemon.h"

#include "daemons/router/caller_api.h"
#include "daemons/router/peer_link.h"
#include "daemons/router/stewardship.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/answers.h"
#include "spindleweir/daemons/upstream_watcher.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

/// Above what CallerApi takes, so that it answers with a number; beyond this
/// the connection gets evhttp's own 413.
constexpr std::size_t kMaxCallerBodyBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxRpcBodyBytes = 64 * 1024 * 1024;
constexpr Millis kStopCheckInterval = 200;
constexpr Millis kReceiptsTimeout = 5000;

}  // namespace

/// The parts of a router, in the order in which they are made.
struct RouterDaemon::Parts {
  Parts(EventLoop& aLoop, RouterOptions aOptions)
      : mContext(aLoop, std::move(aOptions)),
        mDispatcher(mContext.mOptions.mClusterKey),
        mPeers(mContext, mDispatcher),
        mStewardship(mContext, mDispatcher),
        mApi(mContext),
        mWatcher(aLoop, mContext.mClient, mContext.mView,
                 {.mPlatform = mContext.mOptions.mPlatform}),
        mRpcServer(aLoop,
                   {.mListen = mContext.mOptions.mRpcListen,
                    .mMaximumBodyBytes = kMaxRpcBodyBytes,
                    .mHandle =
                        [this](const std::shared_ptr<HttpExchange>& aExchange) {
                          mDispatcher.Handle(*aExchange);
                        }}),
        mCallerServer(
            aLoop,
            {.mListen = mContext.mOptions.mListen,
             .mMaximumBodyBytes = kMaxCallerBodyBytes,
             .mHandle = [this](const std::shared_ptr<HttpExchange>& aExchange) {
               mApi.Handle(aExchange);
             }}) {}

  /// One look at a planned stop, after the balancer's time to see it.
  void ContinueStop();
  /// Receipts are waited for in vain where all of control is stopped too.
  bool AwaitsReceipts();

  RouterContext mContext;
  RpcDispatcher mDispatcher;
  PeerLink mPeers;
  Stewardship mStewardship;
  CallerApi mApi;
  UpstreamWatcher mWatcher;
  HttpServer mRpcServer;
  HttpServer mCallerServer;
  std::unique_ptr<Timer> mStopTimer;
  std::unique_ptr<Timer> mDrainTimer;
  std::unique_ptr<Timer> mRejectTimer;
  Millis mIdleSince = 0;  ///< At a stop: the last request ended; 0: not yet.
  bool mListening = true;
};

bool RouterDaemon::Parts::AwaitsReceipts() {
  mIdleSince = mIdleSince == 0 ? SteadyNow() : mIdleSince;
  const bool late = SteadyNow() - mIdleSince > kReceiptsTimeout;
  return mContext.mOutbox.Size() > 0 && !late;
}

void RouterDaemon::Parts::ContinueStop() {
  if (!mContext.mRejectingRequests) {
    return;
  }
  // A call on a connection that ends with the process would get no answer.
  mCallerServer.CloseIdle();
  if (mContext.mOpenRequests > 0 || AwaitsReceipts()) {
    return;
  }
  if (mListening) {
    // Who connected until now is answered within another period.
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
  if (!options.mPortFile.empty()) {
    Json::Value ports(Json::objectValue);
    ports["listen"] = CallerAddress().Text();
    ports["rpc"] = RpcAddress().Text();
    ReplaceFile(options.mPortFile, DumpJson(ports));
  }
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
      .Add("open_requests", context.mOpenRequests);
  mParts->mStewardship.Stop();
  mParts->mCallerServer.SetClosing();
  // Until the balancer has seen that this router is not ready, what it still
  // sends is served.
  mParts->mRejectTimer =
      context.mLoop.After(context.mOptions.mStopUnready,
                          [&context] { context.mRejectingRequests = true; });
  // What is in flight ends, and its receipts are handed over.
  mParts->mDrainTimer = context.mLoop.Every(kStopCheckInterval,
                                            [this] { mParts->ContinueStop(); });
  mParts->mStopTimer =
      context.mLoop.After(context.mOptions.mStopGrace, [&context] {
        LogLine(LogLevel::kWarning, "stop_grace_over")
            .Add("open_requests", context.mOpenRequests)
            .Add("receipts", static_cast<int>(context.mOutbox.Size()));
        context.mLoop.Stop();
      });
}

}  // namespace spindleweir
