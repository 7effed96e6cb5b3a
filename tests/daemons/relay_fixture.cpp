#include "tests/daemons/relay_fixture.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <netinet/in.h>

#include <array>
#include <cstdint>
#include <cstdlib>
#include <set>
#include <string>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/drivers/rpc_channel.h"
#include "standins/plain_protocol.h"
#include "standins/raw_upstream.h"

namespace spindleweir {

namespace {

/// Longer than a process stalls on a busy machine: routers without a valid
/// lease refuse requests.
constexpr Millis kLease = 2500;

/// Connections of one caller, and the time before each further one.
constexpr int kMaxConnections = 20;
constexpr Millis kConnectPause = 100;

/// A loopback address that no other test process uses: in 127.64.0.0/10, by
/// process id. On 127.0.0.1 a connection of another process may take a port
/// between its choice and its use, and while its listener is down.
in_addr OwnLoopback() {
  constexpr std::uint32_t kNet = 0x7f400000;
  constexpr std::uint32_t kNumbers = 0x003fffff;
  const auto number = static_cast<std::uint32_t>(getpid()) & kNumbers;
  return {.s_addr = htonl(kNet | number)};
}

/// An endpoint that nothing listens at now, perhaps one that was given before.
Endpoint UnusedEndpoint() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr = OwnLoopback();
  (void)bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t n = sizeof(address);
  (void)getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
  close(fd);
  std::array<char, INET_ADDRSTRLEN> text{};
  (void)inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return {text.data(), ntohs(address.sin_port)};
}

}  // namespace

Endpoint FreeEndpoint() {
  static std::set<std::string> given;
  Endpoint endpoint = UnusedEndpoint();
  while (!given.insert(endpoint.Text()).second) {
    endpoint = UnusedEndpoint();
  }
  return endpoint;
}

TrafficConfiguration Traffic(std::int64_t aVersion) {
  TrafficConfiguration traffic;
  traffic.mVersion = aVersion;
  const auto add = [&traffic](const char* aName, RouteKind aKind) {
    traffic.mRoutes.push_back({.mName = aName,
                               .mHost = "shop",
                               .mPrefix = std::string("/") + aName + "/",
                               .mKind = aKind,
                               .mTimeout = 5000,
                               .mMaxAttempts = 2,
                               .mResumable = aKind == RouteKind::kStream,
                               .mTargets = {{"counter", 1}}});
  };
  add("pay", RouteKind::kUnsafe);
  add("look", RouteKind::kSafe);
  add("stream", RouteKind::kStream);
  traffic.mServices = {{.mName = "counter"}};
  traffic.mWorkspaces = {{"school", {"key"}, -1}};
  return traffic;
}

std::string Document(const TrafficConfiguration& aTraffic) {
  return DumpJson(ToJson(aTraffic));
}

RelayFixture::RelayFixture(Millis aWarmUp, RetryLimits aRetries,
                           int aMaxLocalHeartbeats, std::size_t aMaxLearners)
    : mA(mLoop, "a"),
      mB(mLoop, "b"),
      mSeed(FreeEndpoint()),
      mStartWait(aWarmUp),
      mRetries(aRetries),
      mMaxLocalHeartbeats(aMaxLocalHeartbeats),
      mMaxLearners(aMaxLearners) {
  if (getenv("TEST_LOG") != nullptr) {
    StartLog(getenv("TEST_LOG"), "test");
  }
  StartControl();
  StartRouter();
}

void RelayFixture::StartRouter() {
  mRouter = MakeRouter("router");
}

std::unique_ptr<RelayRouter> RelayFixture::MakeRouter(
    const std::string& aId, StartCallHook aStartCall,
    const std::string& aZone) {
  RelayOptions options;
  options.mId = aId;
  options.mZone = aZone;
  options.mStartCall = std::move(aStartCall);
  options.mListen = {"127.0.0.1", 0};
  options.mSeeds = {mSeed};
  options.mHeartbeatAddress = kCollectorAddress;
  mForwarding = FreeEndpoint();
  options.mForwardingListen = mForwarding;
  options.mClusterKey = "secret";
  options.mLeaseLength = kLease;
  options.mStopGrace = mStopGrace;
  options.mStartWait = mStartWait;
  options.mRetries = mRetries;
  options.mMemoryBytes = mMemoryBytes;
  options.mDescriptors = mDescriptors;
  options.mCallers = PlainCallerProtocol();
  options.mEngines = PlainEngineProtocol();
  return std::make_unique<RelayRouter>(mLoop, std::move(options));
}

void RelayFixture::StartControl() {
  ControlOptions options;
  options.mZone = "z";
  options.mRpcListen = mSeed;
  options.mOperatorListen = {"127.0.0.1", 1};
  options.mClusterKey = "secret";
  options.mData = mFolder.Path("data");
  options.mSeeds = {mSeed};
  options.mFirstStart = true;
  options.mElectionTimeout = 50;
  options.mMaxLocalHeartbeats = mMaxLocalHeartbeats;
  options.mMaxLearners = mMaxLearners;
  options.mRetries = mRetries;
  options.mDocuments = PlainDocumentProtocol();
  options.mDocuments.mRead = [this](std::string_view aDocument) {
    mDocumentsRead++;
    return PlainDocumentProtocol().mRead(aDocument);
  };
  options.mEngines = PlainEngineProtocol();
  mControl = std::make_unique<JoinedControl>(mLoop, std::move(options));
}

std::unique_ptr<JoinedControl> RelayFixture::MakeOtherControl(
    const Endpoint& aListen, const std::string& aZone) {
  ControlOptions options;
  options.mZone = aZone;
  options.mRpcListen = aListen;
  options.mOperatorListen = {"127.0.0.1", 2};
  options.mClusterKey = "secret";
  options.mData = mFolder.Path("data-" + aListen.Text());
  options.mSeeds = {mSeed};
  options.mElectionTimeout = 50;
  options.mDocuments = PlainDocumentProtocol();
  options.mEngines = PlainEngineProtocol();
  return std::make_unique<JoinedControl>(mLoop, std::move(options));
}

bool RelayFixture::RunUntil(const std::function<bool()>& aCondition) {
  return RunLoopUntil(mLoop, aCondition);
}

OperatorAnswer RelayFixture::Publish(const std::string& aDocument) {
  OperatorAnswer answer;
  bool done = false;
  // Without a leader the answer is kNoQuorum.
  for (int i = 0; i < 200 && !done; i++) {
    bool ended = false;
    mControl->Publish(aDocument, [&](const OperatorAnswer& aAnswer) {
      answer = aAnswer;
      ended = true;
    });
    RunUntil([&] { return ended; });
    done = answer.mCode != ResultCode::kNoQuorum;
    if (!done) {
      Wait(20);
    }
  }
  return answer;
}

OperatorAnswer RelayFixture::Read() {
  OperatorAnswer answer;
  bool ended = false;
  mControl->Read([&](const OperatorAnswer& aAnswer) {
    answer = aAnswer;
    ended = true;
  });
  RunUntil([&] { return ended; });
  return answer;
}

void RelayFixture::ReportRouters(int aCount) {
  HttpClient client(mLoop);
  RpcChannel rpc(client, "secret");
  int answered = 0;
  for (int i = 0; i < aCount; i++) {
    SyncRequest request;
    request.mProcess = "other" + std::to_string(i) + "/1";
    request.mZone = "z";
    request.mReportsLoads = 1;
    rpc.Call(mSeed, rpc_method::kSync, ToJson(request), 20000,
             [&answered](const RpcResult& aResult) {
               answered += aResult.mOk ? 1 : 0;
             });
  }
  REQUIRE(RunUntil([&] { return answered == aCount; }));
}

std::int64_t KnownRouters(RelayRouter& aRouter) {
  aRouter.RefreshGauges();
  return aRouter.OwnCounters().Value("routers_known");
}

void RelayFixture::Wait(Millis aTime) {
  const Millis until = SteadyNow() + aTime;
  RunUntil([until] { return SteadyNow() >= until; });
}

void RelayFixture::SendHeartbeat(const ScriptedUpstream& aUpstream,
                                 UpstreamState aState) {
  SendHeartbeat({.mInstance = aUpstream.Instance(),
                 .mService = "counter",
                 .mAddress = aUpstream.Address(),
                 .mZone = "z",
                 .mSlots = mSlots,
                 .mState = aState});
}

void RelayFixture::SendHeartbeat(UpstreamRecord aRecord) {
  bool acknowledged = false;
  aRecord.mSequence = ++mSequence;
  mControl->ApplyHeartbeat(
      aRecord, [&](const HeartbeatAnswer&) { acknowledged = true; });
  REQUIRE(RunUntil([&] { return acknowledged; }));
}

void RelayFixture::PublishModel() {
  TrafficConfiguration traffic = Traffic(8);
  TrafficService model{.mName = "model"};
  model.mEngine.mLayers = 8;
  model.mEngine.mTypicalAnswerTokens = 10;
  model.mEngine.mTokenBytes = 1;
  model.mEngine.mIntraZoneMbps = 1000;
  model.mEngine.mPromptTokensPerSecond = 1000;
  model.mEngine.mKinds = {{.mName = "k", .mMemoryMb = 100}};
  traffic.mServices.push_back(model);
  traffic.mRoutes.back().mTargets = {{"model", 1}};
  REQUIRE(Publish(Document(traffic)).mCode == ResultCode::kOk);
}

void RelayFixture::BeginEngine(const ScriptedUpstream& aEngine) {
  PublishModel();
  SendEngineHeartbeat(aEngine);
  AwaitCall(aEngine);
}

void RelayFixture::AwaitCall(const ScriptedUpstream& aEngine) {
  for (int i = 0; aEngine.TotalRuns() == 0; i++) {
    REQUIRE(i < 200);
    Call("/stream/x");
    Wait(10);
  }
}

void RelayFixture::SendEngineHeartbeat(const ScriptedUpstream& aEngine,
                                       LayerRange aLayers,
                                       UpstreamState aState) {
  SendHeartbeat({.mInstance = aEngine.Instance(),
                 .mService = "model",
                 .mAddress = aEngine.Address(),
                 .mZone = "z",
                 .mKind = "k",
                 .mSlots = 6,
                 .mState = aState,
                 .mLayers = aLayers});
}

Answer RelayFixture::Call(const std::string& aTarget, const std::string& aKey,
                          Millis aDeadline) {
  return CallAt(*mRouter, aTarget, aKey, aDeadline);
}

Answer RelayFixture::CallAt(RelayRouter& aRouter, const std::string& aTarget,
                            const std::string& aKey, Millis aDeadline) {
  return CallUntilRead(aRouter, {.mTarget = aTarget,
                                 .mId = "r" + std::to_string(++mRequest),
                                 .mKey = aKey,
                                 .mDeadline = aDeadline});
}

Answer RelayFixture::CallUntilRead(RelayRouter& aRouter,
                                   const CallInput& aFacts) {
  const auto refused = [&aRouter] {
    return aRouter.OwnCounters().Value("connections_refused");
  };
  for (int i = 0; i < kMaxConnections; i++) {
    const std::int64_t before = refused();
    const auto open = OpenAt(aRouter, aFacts);
    REQUIRE(RunUntil([&open] { return open->mEnded; }));
    const bool isUnread = open->mAnswer.mStatus == 0 && refused() > before;
    if (!isUnread) {
      return open->mAnswer;
    }
    Wait(kConnectPause);
  }
  return {};
}

std::unique_ptr<OpenCall> RelayFixture::Open(const std::string& aTarget,
                                             const std::string& aId) {
  return OpenAt(*mRouter, {.mTarget = aTarget, .mId = aId});
}

std::unique_ptr<OpenCall> RelayFixture::OpenAt(const RelayRouter& aRouter,
                                               const CallInput& aFacts) {
  auto open = std::make_unique<OpenCall>();
  StreamCallOptions options;
  options.mServer = aRouter.Address();
  options.mMethod = "POST";
  options.mTarget = aFacts.mTarget;
  options.mHeaders = {
      {"Host", "shop"}, {"X-Request", aFacts.mId}, {"X-Key", aFacts.mKey}};
  if (aFacts.mDeadline > 0) {
    options.mHeaders.push_back(
        {"X-Deadline", std::to_string(aFacts.mDeadline)});
  }
  if (!aFacts.mParts.empty()) {
    options.mHeaders.push_back({kPartsHeader, aFacts.mParts});
  }
  options.mOnHead = [open = open.get()](const AnswerHead& aHead) {
    open->mAnswer.mStatus = aHead.mStatus;
    open->mAnswer.mHeaders = aHead.mHeaders;
  };
  options.mOnData = [open = open.get()](std::string_view aBytes) {
    open->mAnswer.mBody += aBytes;
  };
  options.mOnEnd = [open = open.get()](StreamEnd aEnd) {
    open->mAnswer.mEnd = aEnd;
    open->mEnded = true;
  };
  open->mCall = StartStreamCall(mLoop, std::move(options));
  return open;
}

std::unique_ptr<Timer> RelayFixture::CutNextOnce() {
  mA.QueueActions({UpstreamAction::kTruncate});
  mB.QueueActions({UpstreamAction::kTruncate});
  const std::string id = "r" + std::to_string(mRequest + 1);
  return mLoop.Every(1, [this, id] {
    if (mA.Runs(id) > 0) {
      mB.QueueActions({});
    } else if (mB.Runs(id) > 0) {
      mA.QueueActions({});
    }
  });
}

void RelayFixture::Begin() {
  REQUIRE(Publish(Document(Traffic(7))).mCode == ResultCode::kOk);
  SendHeartbeat(mA, UpstreamState::kReady);
  SendHeartbeat(mB, UpstreamState::kReady);
  REQUIRE(RunUntil([this] { return mRouter->Ready(); }));
  for (int i = 0; mA.TotalRuns() == 0 || mB.TotalRuns() == 0; i++) {
    REQUIRE(i < 200);
    Call("/look/x");
  }
}

void RelayFixture::BeginRaw(const RawUpstream& aUpstream) {
  REQUIRE(Publish(Document(Traffic(7))).mCode == ResultCode::kOk);
  SendHeartbeat({.mInstance = aUpstream.Instance(),
                 .mService = "counter",
                 .mAddress = aUpstream.Address(),
                 .mZone = "z",
                 .mSlots = 6});
  REQUIRE(RunUntil([this] {
    mRouter->RefreshGauges();
    return mRouter->Ready() &&
           mRouter->OwnCounters().Value("upstreams_ready") > 0;
  }));
}

}  // namespace spindleweir
