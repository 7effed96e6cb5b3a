#include "spindleweir/daemons/joined_control.h"

#include <future>
#include <optional>

#include "daemons/control/control_identity.h"
#include "daemons/control/joined_services.h"
#include "daemons/control/storage_start.h"
#include "daemons/loop_wait_log.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/answers.h"
#include "spindleweir/drivers/file_tools.h"

namespace spindleweir {

namespace {

constexpr std::size_t kMaxRpcBytes = 64 * 1024 * 1024;

}  // namespace

/// The parts of a control process, in the order of their construction.
struct JoinedControl::Parts {
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
        mStart(aLoop, mStorage,
               {.mLogs = {mOptions.mData + "/" + kRaftLogFile},
                .mStart = [this] { StartServices(); }}) {}

  void StartServices() {
    PrepareFolder(mOptions.mData);
    ControlOptions options = ReadIdentity(mOptions);
    // Both files are written anew, each with two syncs, at the same time.
    std::future<OpenRaftLog> log = std::async(std::launch::async, [&options] {
      return OpenRaftLog(options.mData + "/" + kRaftLogFile,
                         options.mInitialVoters);
    });
    WriteIdentity(options);
    OpenRaftLog openLog = log.get();
    mServices = std::make_unique<JoinedServices>(
        mLoop, std::move(options), std::move(openLog), mCounters, mStorage);
    if (mNewSeeds.has_value()) {
      mServices->SetSeeds(*mNewSeeds);
    }
  }

  void HandleRpc(const std::shared_ptr<HttpExchange>& aExchange) {
    if (mServices == nullptr) {
      ReplyError(*aExchange, {.mCode = ResultCode::kStorageFailed});
      return;
    }
    mServices->HandleRpc(aExchange);
  }

  EventLoop& mLoop;
  ControlOptions mOptions;
  Counters mCounters;
  LoopWaitLog mWaitLog;
  StorageState mStorage;
  /// Seeds that were set later. They don't change the first voters, which all
  /// controls derive from the same list.
  std::optional<std::vector<Endpoint>> mNewSeeds;
  bool mIsStopping = false;
  /// nullptr while the start waits for the disk. Until then this control has no
  /// part in the deployment: to the others it is a control that is down, which
  /// they replace as a voter if that lasts.
  std::unique_ptr<JoinedServices> mServices;
  HttpServer mRpcServer;
  StorageStart mStart;
};

JoinedControl::JoinedControl(EventLoop& aLoop, ControlOptions aOptions)
    : mParts(std::make_unique<Parts>(aLoop, std::move(aOptions))) {}

JoinedControl::~JoinedControl() = default;

void JoinedControl::Publish(const std::string& aDocument,
                            const OperatorDone& aDone) {
  if (!HasStarted()) {
    aDone({.mCode = ResultCode::kStorageFailed});
    return;
  }
  mParts->mServices->Publish(aDocument, aDone);
}

void JoinedControl::Read(const OperatorDone& aDone) {
  if (!HasStarted()) {
    aDone({.mCode = ResultCode::kStorageFailed});
    return;
  }
  mParts->mServices->Read(aDone);
}

void JoinedControl::ApplyHeartbeat(const UpstreamRecord& aRecord,
                                   const HeartbeatDone& aDone) {
  if (!HasStarted()) {
    aDone({.mAccepted = false});
    return;
  }
  mParts->mServices->Upstreams().OnHeartbeat(aRecord, aDone);
}

void JoinedControl::Leave(const std::string& aInstance,
                          const HeartbeatDone& aDone, std::int64_t aStart) {
  if (!HasStarted()) {
    aDone({.mAccepted = false});
    return;
  }
  mParts->mServices->Upstreams().ApplyLeave(aInstance, aDone, aStart);
}

void JoinedControl::OnInvalidHeartbeat(const std::string& aInstance,
                                       const Error& aWhy) {
  if (HasStarted()) {
    mParts->mServices->Invalid().Record("heartbeat", aInstance, aWhy);
  }
}

void JoinedControl::SetSeeds(std::vector<Endpoint> aSeeds) {
  if (HasStarted()) {
    mParts->mServices->SetSeeds(aSeeds);
  }
  mParts->mNewSeeds = std::move(aSeeds);
}

bool JoinedControl::HasStarted() const {
  return mParts->mServices != nullptr;
}

Counters& JoinedControl::OwnCounters() {
  return mParts->mCounters;
}

void JoinedControl::RefreshGauges() {
  if (HasStarted()) {
    mParts->mServices->RefreshGauges();
  }
}

void JoinedControl::Stop() {
  // Everything that was acknowledged is on the disk already.
  const auto end = [parts = mParts.get()] {
    const LogLine line(LogLevel::kInfo, "stopped");
    parts->mLoop.Stop();
  };
  if (!HasStarted() || mParts->mIsStopping) {
    end();
    return;
  }
  mParts->mIsStopping = true;
  mParts->mServices->Stop(end);
}

}  // namespace spindleweir
