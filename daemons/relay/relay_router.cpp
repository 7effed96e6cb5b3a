#include "spindleweir/daemons/relay_router.h"

#include <optional>
#include <unordered_set>

#include "daemons/loop_wait_log.h"
#include "daemons/relay/forwarding_server.h"
#include "daemons/relay/heartbeat_relay.h"
#include "daemons/relay/planned_stop.h"
#include "daemons/relay/relay_admission.h"
#include "daemons/relay/relay_request.h"
#include "daemons/relay/retry_credit_requester.h"
#include "daemons/relay/sync_link.h"
#include "daemons/rpc_meter.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

/// The components of a relaying router, in order of construction.
struct RelayRouter::Parts {
  Parts(EventLoop& aLoop, RelayOptions aOptions)
      : mContext(aLoop, std::move(aOptions)),
        mWaitLog(aLoop, mContext.mCounters),
        mMeter(aLoop, mContext.mRpc, mContext.mCounters,
               {.mZone = mContext.mOptions.mZone,
                .mZoneOf =
                    [this](const Endpoint& aAddress) {
                      return mContext.mDirectory.ZoneAt(aAddress);
                    }}),
        mGuard(mContext),
        mAdmission(mContext),
        mLink(mContext),
        mRetryCreditRequester(mContext, mLink),
        mHeartbeatRelay(mContext, mLink),
        mStartedAt(SteadyNow()),
        mServer(
            aLoop,
            {.mListen = mContext.mOptions.mListen,
             .mMaximumConnections = mContext.mOptions.mMaxConnections,
             .mMayAccept = [this] { return MayAccept(); },
             .mHandle =
                 [this](const std::shared_ptr<StreamExchange>& aExchange) {
                   Handle(aExchange);
                 },
             .mRefuse = [this](StreamExchange& aExchange,
                               ResultCode aCode) { Refuse(aExchange, aCode); },
             .mMemory = mContext.mMemory,
             .mOnEvict =
                 [this](std::size_t aCallers, std::size_t aBytes) {
                   LogEviction(aCallers, aBytes);
                 }}),
        mStop(mContext, mServer,
              {.mOpenRequests = [this] { return OpenRequests(); },
               .mEndRequests = [this] { EndRequests(); }}) {
    mContext.mGuard = &mGuard;
    mContext.mAdmission = &mAdmission;
    mContext.mRetryCreditRequester = &mRetryCreditRequester;
    if (!mContext.mOptions.mForwardingListen.mHost.empty()) {
      mForwarding.emplace(mContext);
      mContext.mForwardingAddress = mForwarding->Address().Text();
    }
  }

  /// Requests of callers, and calls that are forwarded for other routers.
  int OpenRequests() const {
    const std::size_t forwarded =
        mForwarding.has_value() ? mForwarding->OpenCalls() : 0;
    return static_cast<int>(mRequests.size() + forwarded);
  }

  void Handle(const std::shared_ptr<StreamExchange>& aExchange) {
    ApplyLimits();
    // Each request removes itself when it has ended; the map only owns it until
    // then.
    std::shared_ptr<RelayRequest> request;
    const auto key = std::make_shared<RelayRequest*>(nullptr);
    request = std::make_shared<RelayRequest>(mContext, aExchange, [this, key] {
      const auto it = mRequests.find(*key);
      if (it != mRequests.end()) {
        mContext.mLoop.Post([gone = std::move(it->second)] {});
        mRequests.erase(it);
      }
    });
    *key = request.get();
    mRequests[*key] = request;
    request->Begin();
  }

  /// Whether to accept a new connection.
  bool MayAccept() {
    // Callers come back all at once after a restart of all processes, and most
    // of them with their last attempt.
    if (mContext.IsStartingUp() || mContext.mConnections.Accept(SteadyNow())) {
      return true;
    }
    mContext.mCounters.Add("connections_refused");
    return false;
  }

  void EndRequests() {
    // Each request removes itself from the map.
    const std::unordered_map<RelayRequest*, std::shared_ptr<RelayRequest>>
        open = mRequests;
    for (const auto& [key, request] : open) {
      request->EndByStop();
    }
    if (mForwarding.has_value()) {
      mForwarding->EndCalls();
    }
  }

  void Refuse(StreamExchange& aExchange, ResultCode aCode) {
    mContext.mCounters.Add("refused_unread");
    LogLine(LogLevel::kInfo, "refused_unread")
        .Add("code", static_cast<int>(aCode));
    Millis retryAfter = -1;
    if (aCode == ResultCode::kMemoryFull) {
      retryAfter = MemoryBudget::RetryAfter(mContext.Random());
      mContext.mCounters.Add("memory_refused");
    }
    aExchange.Reply(InfoOf(aCode).mHttpStatus,
                    mContext.mOptions.mCallers.mWriteRefusal("", retryAfter),
                    std::string(InfoOf(aCode).mName));
  }

  void LogEviction(std::size_t aCallers, std::size_t aBytes) {
    const MemoryBudget& budget = *mContext.mMemory;
    mContext.mCounters.Add("memory_cut", {},
                           static_cast<std::int64_t>(aCallers));
    LogLine(LogLevel::kWarning, "memory_cut")
        .Add("callers", static_cast<Json::UInt64>(aCallers))
        .Add("bytes", static_cast<Json::UInt64>(aBytes))
        .Add("held", static_cast<Json::UInt64>(budget.Held()))
        .Add("committed", static_cast<Json::UInt64>(budget.Committed()))
        .Add("bound", static_cast<Json::UInt64>(budget.Options().mMaxBytes))
        .Add("waiting", static_cast<Json::UInt64>(budget.WaitingConnections()));
  }

  void SetMemoryGauges() {
    const MemoryBudget& budget = *mContext.mMemory;
    Counters& counters = mContext.mCounters;
    const auto set = [&counters](const char* aName, std::size_t aValue) {
      counters.Set(aName, static_cast<std::int64_t>(aValue));
    };
    set("memory_bound_bytes", budget.Options().mMaxBytes);
    set("memory_held_bytes", budget.Held());
    set("memory_committed_bytes", budget.Committed());
    set("memory_share_bytes", budget.StreamShare());
    set("memory_waiting", budget.WaitingConnections());
    for (std::size_t i = 0; i < kBufferKinds; i++) {
      const auto kind = static_cast<BufferKind>(i);
      const std::string name = std::string("memory_") + NameOf(kind) + "_bytes";
      set(name.c_str(), budget.Held(kind));
    }
  }

  void ApplyLimits() {
    if (mContext.Table() == nullptr ||
        mContext.Table()->Version() == mLimitsVersion) {
      return;
    }
    mLimitsVersion = mContext.Table()->Version();
    const TrafficLimits& limits = mContext.Table()->Configuration().mLimits;
    StreamServerLimits applied;
    if (limits.mHeaderBytes > 0) {
      applied.mMaximumHeaderBytes =
          static_cast<std::size_t>(limits.mHeaderBytes);
    }
    if (limits.mBodyBytes > 0) {
      applied.mMaximumBodyBytes = static_cast<std::size_t>(limits.mBodyBytes);
    }
    if (limits.mHeaderTimeout > 0) {
      applied.mHeaderTimeout = limits.mHeaderTimeout;
    }
    if (limits.mIdleTimeout > 0) {
      applied.mIdleTimeout = limits.mIdleTimeout;
    }
    mServer.SetLimits(applied);
  }

  /// Whether each engine service has a complete path.
  bool HasPaths() const {
    for (const TrafficService& service :
         mContext.Table()->Configuration().mServices) {
      if (!service.IsEngine()) {
        continue;
      }
      std::vector<const UpstreamRecord*> engines =
          mContext.mRegistry.OfService(service.mName);
      std::erase_if(engines, [](const UpstreamRecord* aRecord) {
        return aRecord->mState != UpstreamState::kReady;
      });
      int coveredLayers = 0;
      bool extended = true;
      while (extended && coveredLayers < service.mEngine.mLayers) {
        extended = false;
        for (const UpstreamRecord* record : engines) {
          if (record->mLayers.mFrom <= coveredLayers &&
              record->mLayers.mTo > coveredLayers) {
            coveredLayers = record->mLayers.mTo;
            extended = true;
          }
        }
      }
      if (coveredLayers < service.mEngine.mLayers) {
        return false;
      }
    }
    return true;
  }

  RelayContext mContext;
  LoopWaitLog mWaitLog;
  RpcMeter mMeter;
  StreamGuard mGuard;
  RelayAdmission mAdmission;
  SyncLink mLink;
  RetryCreditRequester mRetryCreditRequester;
  HeartbeatRelay mHeartbeatRelay;
  Millis mStartedAt;
  std::int64_t mLimitsVersion = 0;
  std::unordered_map<RelayRequest*, std::shared_ptr<RelayRequest>> mRequests;
  StreamServer mServer;
  std::optional<ForwardingServer> mForwarding;
  PlannedStop mStop;
};

RelayRouter::RelayRouter(EventLoop& aLoop, RelayOptions aOptions)
    : mParts(std::make_unique<Parts>(aLoop, std::move(aOptions))) {
  LogLine(LogLevel::kInfo, "started")
      .Add("id", mParts->mContext.mOptions.mId)
      .Add("zone", mParts->mContext.mOptions.mZone)
      .Add("listen", Address().Text());
}

RelayRouter::~RelayRouter() = default;

const Endpoint& RelayRouter::Address() const {
  return mParts->mServer.Address();
}

bool RelayRouter::Ready() const {
  const RelayContext& context = mParts->mContext;
  if (context.mStopping || context.Table() == nullptr) {
    return false;
  }
  if (context.Table()->NeedsKeys() && !context.HasValidLease()) {
    return false;
  }
  return mParts->HasPaths() ||
         SteadyNow() - mParts->mStartedAt > context.mOptions.mMaxPathWait;
}

void RelayRouter::ApplyHeartbeat(const UpstreamRecord& aRecord,
                                 const HeartbeatDone& aDone) {
  mParts->mHeartbeatRelay.ApplyHeartbeat(aRecord, aDone);
}

void RelayRouter::ApplyLeave(const std::string& aInstance,
                             const HeartbeatDone& aDone, std::int64_t aStart) {
  mParts->mHeartbeatRelay.ApplyLeave(aInstance, aDone, aStart);
}

void RelayRouter::RecordInvalidHeartbeat(const std::string& aInstance,
                                         const Error& aReason) {
  mParts->mContext.mInvalidMessages.Record("heartbeat", aInstance, aReason);
}

void RelayRouter::SetSeeds(std::vector<Endpoint> aSeeds) {
  mParts->mContext.mDirectory.SetSeeds(std::move(aSeeds));
}

Counters& RelayRouter::OwnCounters() {
  return mParts->mContext.mCounters;
}

void RelayRouter::RefreshGauges() {
  RelayContext& context = mParts->mContext;
  Counters& counters = context.mCounters;
  const Millis now = SteadyNow();
  counters.Set("ready", Ready() ? 1 : 0);
  counters.Set("lease_age_ms", context.mLease.Age(now));
  counters.Set("requests_open",
               static_cast<std::int64_t>(mParts->mRequests.size()));
  counters.Set("connections",
               static_cast<std::int64_t>(mParts->mServer.Connections()));
  counters.Set("connection_limit",
               static_cast<std::int64_t>(context.mConnections.Limit()));
  counters.Set("routers_known", context.Routers());
  counters.Set("limits_known",
               static_cast<std::int64_t>(context.mLimits.Count()));
  counters.Set("limit_credits", context.mLimits.Credits());
  const CrashLedger& crashes = context.mCrashes.Ledger();
  counters.Set("parts_barred",
               static_cast<std::int64_t>(crashes.BarredParts()));
  counters.Set("parts_suspected",
               static_cast<std::int64_t>(crashes.SuspectedParts()));
  mParts->SetMemoryGauges();
  int states[4] = {0, 0, 0, 0};
  for (const UpstreamRecord* record : context.mRegistry.OfService("")) {
    states[static_cast<int>(record->mState)]++;
  }
  counters.Set("upstreams_ready", states[0]);
  counters.Set("upstreams_silent", states[1]);
  counters.Set("upstreams_leaving", states[2]);
  counters.Set("upstreams_gone", states[3]);
  std::int64_t attempts = 0;
  for (const auto& [instance, load] : context.LocalLoads()) {
    attempts += load.mFirstStageRequests;
  }
  counters.Set("attempts_told", attempts);
  if (context.Table() == nullptr) {
    return;
  }
  double left = 0;
  for (const TrafficService& service :
       context.Table()->Configuration().mServices) {
    left += context.RetryAllowanceOf(service.mName).Available(now);
  }
  counters.Set("retries_left", static_cast<std::int64_t>(left));
}

void RelayRouter::Stop() {
  mParts->mStop.Begin();
}

}  // namespace spindleweir
