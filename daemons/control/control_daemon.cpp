#include "spindleweir/daemons/control_daemon.h"

#include "daemons/control/operator_api.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

constexpr std::size_t kMaxRpcBytes = 64 * 1024 * 1024;

/// Prepares the data folder before any part opens a file in it.
ControlOptions PrepareDataFolder(ControlOptions aOptions) {
  PrepareFolder(aOptions.mData);
  return aOptions;
}

}  // namespace

/// The parts of a control process, in the order of their construction.
struct ControlDaemon::Parts {
  Parts(EventLoop& aLoop, ControlOptions aOptions)
      : mContext(aLoop, PrepareDataFolder(std::move(aOptions))),
        mLog(mContext),
        mClaims(mContext),
        mReceipts(mContext),
        mInventory(mContext,
                   [this] { return mLog.Machine().Current().mVersion; }),
        mApi(mContext, mLog, mInventory, mReceipts, mClaims),
        mRpcServer(aLoop,
                   {.mListen = mContext.mOptions.mRpcListen,
                    .mMaximumBodyBytes = kMaxRpcBytes,
                    .mHandle =
                        [this](const std::shared_ptr<HttpExchange>& aExchange) {
                          mContext.mDispatcher.Handle(*aExchange);
                        }}),
        mOperatorServer(
            aLoop,
            {.mListen = mContext.mOptions.mOperatorListen,
             .mMaximumBodyBytes = kMaxRpcBytes,
             .mHandle = [this](const std::shared_ptr<HttpExchange>& aExchange) {
               mApi.Handle(aExchange);
             }}) {}

  ControlContext mContext;
  ReplicatedConfiguration mLog;
  ClaimService mClaims;
  ReceiptService mReceipts;
  Inventory mInventory;
  OperatorApi mApi;
  HttpServer mRpcServer;
  HttpServer mOperatorServer;
};

ControlDaemon::ControlDaemon(EventLoop& aLoop, ControlOptions aOptions)
    : mParts(std::make_unique<Parts>(aLoop, std::move(aOptions))) {
  mParts->mContext.mEntryVms.Check();
  const ControlOptions& options = mParts->mContext.mOptions;
  if (!options.mPortFile.empty()) {
    Json::Value ports(Json::objectValue);
    ports["operator"] = OperatorAddress().Text();
    ports["rpc"] = RpcAddress().Text();
    ReplaceFile(options.mPortFile, DumpJson(ports));
  }
  LogLine(LogLevel::kInfo, "started")
      .Add("zone", options.mZone)
      .Add("operator", OperatorAddress().Text())
      .Add("rpc", RpcAddress().Text())
      .Add("version",
           static_cast<Json::Int64>(mParts->mLog.Machine().Current().mVersion));
}

ControlDaemon::~ControlDaemon() = default;

const Endpoint& ControlDaemon::OperatorAddress() const {
  return mParts->mOperatorServer.Address();
}

const Endpoint& ControlDaemon::RpcAddress() const {
  return mParts->mRpcServer.Address();
}

void ControlDaemon::Stop() {
  // Everything that was acknowledged is on the disk already.
  const LogLine line(LogLevel::kInfo, "stopped");
  mParts->mContext.mLoop.Stop();
}

}  // namespace spindleweir
