#include "spindleweir/daemons/control_daemon.h"

#include "daemons/control/control_services.h"
#include "daemons/control/storage_start.h"
#include "daemons/control/waiting_api.h"
#include "daemons/loop_wait_log.h"
#include "daemons/port_file.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/answers.h"

namespace spindleweir {

namespace {

constexpr std::size_t kMaxRpcBytes = 64 * 1024 * 1024;

}  // namespace

/// The parts of a control process, in the order of their construction.
struct ControlDaemon::Parts {
  Parts(EventLoop& aLoop, ControlOptions aOptions)
      : mLoop(aLoop),
        mOptions(std::move(aOptions)),
        mWaitLog(aLoop, mCounters),
        mStorage(mCounters, mOptions.mData),
        mRpcServer(aLoop,
                   {.mListen = mOptions.mRpcListen,
                    .mMaximumBodyBytes = kMaxRpcBytes,
                    .mHandle =
                        [this](const std::shared_ptr<HttpExchange>& aExchange) {
                          HandleRpc(aExchange);
                        }}),
        mOperatorServer(
            aLoop, {.mListen = mOptions.mOperatorListen,
                    .mMaximumBodyBytes = kMaxRpcBytes,
                    .mHandle =
                        [this](const std::shared_ptr<HttpExchange>& aExchange) {
                          HandleOperator(aExchange);
                        }}),
        mPortFile(aLoop, mOptions.mPortFile,
                  {{"operator", mOperatorServer.Address()},
                   {"rpc", mRpcServer.Address()}}),
        mStart(aLoop, mStorage,
               {.mLogs = {mOptions.mData + "/" + kRaftLogFile,
                          mOptions.mData + "/" + kClaimLogFile,
                          mOptions.mData + "/" + kReceiptLogFile},
                .mStart = [this] { StartServices(); }}) {}

  void StartServices() {
    mServices =
        std::make_unique<ControlServices>(mLoop, mOptions, mCounters, mStorage);
    LogLine(LogLevel::kInfo, "started")
        .Add("zone", mOptions.mZone)
        .Add("operator", mOperatorServer.Address().Text())
        .Add("rpc", mRpcServer.Address().Text())
        .Add("version", static_cast<Json::Int64>(mServices->Version()));
  }

  void HandleRpc(const std::shared_ptr<HttpExchange>& aExchange) {
    if (mServices == nullptr) {
      ReplyError(*aExchange, {.mCode = ResultCode::kStorageFailed});
      return;
    }
    mServices->HandleRpc(aExchange);
  }

  void HandleOperator(const std::shared_ptr<HttpExchange>& aExchange) {
    if (mServices == nullptr) {
      AnswerWhileWaiting(*aExchange, mCounters);
      return;
    }
    mServices->HandleOperator(aExchange);
  }

  EventLoop& mLoop;
  ControlOptions mOptions;
  Counters mCounters;
  LoopWaitLog mWaitLog;
  StorageState mStorage;
  /// nullptr while the start waits for the disk.
  std::unique_ptr<ControlServices> mServices;
  HttpServer mRpcServer;
  HttpServer mOperatorServer;
  PortFile mPortFile;
  StorageStart mStart;
};

ControlDaemon::ControlDaemon(EventLoop& aLoop, ControlOptions aOptions)
    : mParts(std::make_unique<Parts>(aLoop, std::move(aOptions))) {}

ControlDaemon::~ControlDaemon() = default;

bool ControlDaemon::HasStarted() const {
  return mParts->mServices != nullptr;
}

const Endpoint& ControlDaemon::OperatorAddress() const {
  return mParts->mOperatorServer.Address();
}

const Endpoint& ControlDaemon::RpcAddress() const {
  return mParts->mRpcServer.Address();
}

void ControlDaemon::Stop() {
  // Everything that was acknowledged is on the disk already.
  const LogLine line(LogLevel::kInfo, "stopped");
  mParts->mLoop.Stop();
}

}  // namespace spindleweir
