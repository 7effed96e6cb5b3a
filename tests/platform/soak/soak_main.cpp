/// spindleweir-soak: runs callers with persistent connections, upstreams that
/// start and stop, a network that fails, and an operator that keeps changing
/// the configuration, against real processes of the system that use the
/// platform's protocols. scripts/relay-soak starts the processes and injects
/// their faults. Exits with 1 if a promise was violated.
#include <gflags/gflags.h>

#include <algorithm>
#include <iostream>
#include <limits>
#include <sstream>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/settings.h"
#include "spindleweir/drivers/file_tools.h"
#include "tests/platform/soak/soak_caller.h"
#include "tests/platform/soak/soak_retry_limit.h"
#include "tests/platform/soak/soak_upstream.h"

DEFINE_string(routers, "", "NAME=IP:PORT of each router, separated by commas");
DEFINE_string(controls, "", "IP:PORT of each control, separated by commas");
DEFINE_string(
    controls_file, "",
    "file with the addresses that replace --controls, once it is there");
DEFINE_string(faults, "", "record of the fault script");
DEFINE_string(up_file, "", "file created when the load starts");
DEFINE_uint32(seed, 1, "seed of all random choices");
DEFINE_int32(seconds, 15, "duration of the load, in seconds");
DEFINE_bool(links, false, "also inject network faults at engines");
DEFINE_bool(needs, false,
            "upstreams also advertise limits and ask for back-offs");
DEFINE_bool(retries, false,
            "plain upstreams fail all requests, and only these are sent");
DEFINE_double(retry_slack, 200,
              "the routers' limit on retries, beside a share of the requests");
DEFINE_int32(callers, 48, "number of concurrent callers");

namespace spindleweir {
namespace {

constexpr int kZones = 3;
constexpr int kEnginesOfZone = 3;
constexpr Millis kChangeTimeout = 1500;
constexpr Millis kMaxOverrun = 30000;
constexpr int kEndFaultKinds = 2;
constexpr int kLinkFaultKinds = 4;
constexpr int kMaxReductionPause = 2500;
constexpr int kMaxChangePause = 900;
constexpr int kMaxFaultPause = 3000;
constexpr Millis kControlsInterval = 200;

/// The operator: sends one configuration version after the other, whether or
/// not the previous one was acknowledged.
class SoakOperator {
 public:
  SoakOperator(EventLoop& aLoop, std::vector<Endpoint> aControls,
               std::mt19937& aRandom)
      : mLoop(aLoop), mControls(std::move(aControls)), mRandom(aRandom) {}

  void Change() {
    mVersion++;
    Send(Document(mVersion), 0);
  }

  void SetControls(std::vector<Endpoint> aControls) {
    mControls = std::move(aControls);
  }
  bool Acknowledged() const { return mAcknowledged > 0; }

  /// Polls until the version read is at least the acknowledged one; passes
  /// false to aDone after kMaxReads failed retries.
  void ReadBack(const std::function<void(bool)>& aDone) {
    mBody.clear();
    Call("GET", "/-/Config.Read", "", 0, [this, aDone](int aStatus) {
      const bool good = aStatus == 200 &&
                        ParseJson(mBody)["version"].asInt64() >= mAcknowledged;
      if (good || ++mReads > kMaxReads) {
        aDone(good);
        return;
      }
      mTimer = mLoop.After(kReadRetryDelay, [this, aDone] { ReadBack(aDone); });
    });
  }

  /// Called when a change was acknowledged or given up. Schedules the next one.
  std::function<void()> mOnSettled;

 private:
  static constexpr int kMaxReads = 60;
  static constexpr Millis kReadRetryDelay = 250;
  static constexpr int kMaxTries = 6;

  static Json::Value Route(const std::string& aName, const char* aKind,
                           const char* aService, int aTimeout) {
    Json::Value route(Json::objectValue);
    route["name"] = aName;
    route["host"] = "soak.example";
    route["pathPrefix"] = "/" + aName + "/";
    route["kind"] = aKind;
    route["timeoutMs"] = aTimeout;
    route["targetLatencyMs"] = 500;
    route["gap_aim_ms"] = 250;
    route["maxAttempts"] = 2;
    route["resumable"] = std::string(aKind) == "streaming";
    route["service"] = aService;
    return route;
  }

  /// Returns a configuration. The parts that callers use are in each version;
  /// the rest depends on the version.
  std::string Document(std::int64_t aVersion) {
    Json::Value document(Json::objectValue);
    document["version"] = static_cast<Json::Int64>(aVersion);
    const int timeout = aVersion % 2 == 0 ? 20000 : 19000;
    Json::Value& routes = document["routes"];
    routes.append(Route("stream", "streaming", "model", timeout));
    routes.append(Route("look", "safe", "plain", 5000));
    routes.append(Route("pay", "unsafe", "plain", 5000));
    for (int i = 0; i < aVersion % 7; i++) {
      routes.append(Route("other" + std::to_string(i), "safe", "plain", 5000));
    }
    Json::Value engine = ParseJson(
        R"({"slots":192,"kvCapacityTokens":100000,"kvTokenBytes":1000,
        "linkMbps":400000,"stride":3,"models":[{"name":"m","load_s":0.1}],
        "step_ms":1,"read_per_s":100000,"chunk":512,"loads_at_once":5,
        "usual":{"prompt":10,"answer":200},"layer_mb":100,"act_bytes":1000,
        "pipe_mbps":26000,"kinds":[{"name":"soak","mb":72000,"pace":1}]})");
    engine["layers"] = SoakUpstream::kLayers;
    Json::Value model(Json::objectValue);
    model["name"] = "model";
    model["engine"] = engine;
    Json::Value plain(Json::objectValue);
    plain["name"] = "plain";
    document["services"].append(model);
    document["services"].append(plain);
    Json::Value tenant(Json::objectValue);
    tenant["name"] = "soak";
    tenant["apiKeys"].append("soak-key");
    if (aVersion % 3 == 0) {
      tenant["apiKeys"].append("other-key");
    }
    document["tenants"].append(tenant);
    return DumpJson(document);
  }

  void Send(const std::string& aDocument, int aTry) {
    const std::int64_t version = mVersion;
    Call("POST", "/-/Config.Replace", aDocument, 0,
         [this, aDocument, aTry, version](int aStatus) {
           if (aStatus == 200) {
             mAcknowledged = version;
           } else if (aTry < kMaxTries) {
             mTimer = mLoop.After(
                 100, [this, aDocument, aTry] { Send(aDocument, aTry + 1); });
             return;
           }
           mOnSettled();
         });
  }

  /// Calls a random control and follows up to two redirects to the leader.
  void Call(const std::string& aMethod, const std::string& aTarget,
            const std::string& aBody, int aSteps,
            const std::function<void(int)>& aDone,
            const std::string& aAt = "") {
    StreamCallOptions options;
    options.mServer =
        aAt.empty() ? mControls[std::uniform_int_distribution<std::size_t>(
                          0, mControls.size() - 1)(mRandom)]
                    : ParseEndpoint(aAt, "leader");
    options.mMethod = aMethod;
    options.mTarget = aTarget;
    options.mHeaders = {{"Host", "control"},
                        {"Content-Type", "application/json"}};
    options.mBody = aBody;
    options.mTimeout = kChangeTimeout;
    const auto head = std::make_shared<AnswerHead>();
    options.mOnHead = [head](const AnswerHead& aHead) { *head = aHead; };
    options.mOnData = [this](std::string_view aBytes) { mBody += aBytes; };
    options.mOnEnd = [=, this](StreamEnd aEnd) {
      constexpr std::string_view kScheme = "http://";
      const std::string* to = FindHeader(head->mHeaders, "Location");
      if (head->mStatus == 307 && to != nullptr && aSteps < 2) {
        const std::string address = to->substr(
            kScheme.size(), to->find('/', kScheme.size()) - kScheme.size());
        mBody.clear();
        Call(aMethod, aTarget, aBody, aSteps + 1, aDone, address);
        return;
      }
      aDone(aEnd == StreamEnd::kComplete ? head->mStatus : 0);
    };
    // The previous call may be on the stack.
    mLoop.Post([before = std::shared_ptr<StreamCall>(std::move(mCall))] {});
    mCall = StartStreamCall(mLoop, std::move(options));
  }

  EventLoop& mLoop;
  std::vector<Endpoint> mControls;
  std::mt19937& mRandom;
  std::int64_t mVersion = 0;
  std::int64_t mAcknowledged = 0;
  int mReads = 0;
  std::string mBody;
  std::unique_ptr<StreamCall> mCall;
  std::unique_ptr<Timer> mTimer;
};

std::vector<SoakKill> ReadKills(const std::string& aPath) {
  std::vector<SoakKill> kills;
  std::istringstream lines(ReadFile(aPath).value_or(""));
  for (std::string line; std::getline(lines, line);) {
    const Json::Value record = ParseJson(line);
    const std::int64_t at = record["wall_us"].asInt64();
    const std::string name = record["name"].asString();
    if (record["what"] == "kill") {
      kills.push_back({name, at, std::numeric_limits<std::int64_t>::max()});
    } else if (record["what"] == "killed") {
      for (SoakKill& kill : kills) {
        kill.mTo = kill.mName == name ? std::min(kill.mTo, at) : kill.mTo;
      }
    }
  }
  return kills;
}

std::vector<SoakFault> ReadFaults(const std::string& aPath) {
  std::vector<SoakFault> faults;
  std::istringstream lines(ReadFile(aPath).value_or(""));
  for (std::string line; std::getline(lines, line);) {
    const Json::Value record = ParseJson(line);
    faults.push_back({record["name"].asString(), record["wall_us"].asInt64()});
  }
  return faults;
}

/// All simulated participants of the soak.
class Soak {
 public:
  Soak()
      : mRandom(FLAGS_seed),
        mOperator(mLoop, Endpoints(SplitList(FLAGS_controls)), mRandom) {
    for (const std::string& item : SplitList(FLAGS_routers)) {
      const std::size_t at = item.find('=');
      mRouters.push_back(
          {item.substr(0, at), ParseEndpoint(item.substr(at + 1), "router")});
    }
  }

  int Run() {
    for (int zone = 0; zone < kZones; zone++) {
      for (int i = 0; i < kEnginesOfZone; i++) {
        AddUpstream(zone, "engine-" + std::to_string(i), true);
      }
      AddUpstream(zone, "plain", false);
    }
    mControlsTimer = mLoop.Every(kControlsInterval, [this] { ReadControls(); });
    mOperator.mOnSettled = [this] { OnChangeSettled(); };
    mOperator.Change();
    const auto end = mLoop.After(kMaxOverrun + Length(), [this] { Finish(); });
    mLoop.Run();
    const int broken =
        mRecord.CountViolations(ReadKills(FLAGS_faults)) +
        CountReductionViolations() +
        CountRetryViolations(mRecord, {.mSlack = FLAGS_retry_slack}) +
        (mReadBack ? 0 : 1);
    std::cout << (mReadBack ? "" : "BROKEN: the newest version is lost\n")
              << "seed " << FLAGS_seed << ": " << broken << " broken\n";
    return broken == 0 ? 0 : 1;
  }

 private:
  static std::vector<Endpoint> Endpoints(
      const std::vector<std::string>& aTexts) {
    std::vector<Endpoint> endpoints;
    for (const std::string& text : aTexts) {
      endpoints.push_back(ParseEndpoint(text, "control"));
    }
    return endpoints;
  }

  /// Takes over the controls that the fault script names; it replaces the file
  /// as a whole.
  void ReadControls() {
    const std::string text = ReadFile(FLAGS_controls_file).value_or("");
    if (text == mControlsText || text.empty()) {
      return;
    }
    mControlsText = text;
    const std::vector<Endpoint> controls = Endpoints(SplitList(text));
    mOperator.SetControls(controls);
    for (const auto& upstream : mUpstreams) {
      upstream->SetControls(controls);
    }
  }

  static Millis Length() { return Millis{FLAGS_seconds} * 1000; }

  int Pick(int aFrom, int aTo) {
    return std::uniform_int_distribution<int>(aFrom, aTo)(mRandom);
  }

  void AddUpstream(int aZone, const std::string& aName, bool aEngine) {
    const std::string zone = "zone-" + std::to_string(aZone);
    mUpstreams.push_back(std::make_unique<SoakUpstream>(
        mLoop, aName + "-" + zone,
        SoakUpstreamOptions{.mService = aEngine ? "model" : "plain",
                            .mZone = zone,
                            .mEngine = aEngine,
                            .mFails = !aEngine && FLAGS_retries,
                            .mControls = Endpoints(SplitList(FLAGS_controls)),
                            .mRecord = &mRecord}));
  }

  int CountReductionViolations() const {
    const std::vector<SoakFault> faults = ReadFaults(FLAGS_faults);
    std::size_t needs = 0;
    int broken = 0;
    for (const auto& upstream : mUpstreams) {
      needs += upstream->LoadReductions().size();
      for (const SoakLoadReduction& need : upstream->LoadReductions()) {
        broken += need.CountViolations(faults);
      }
    }
    std::cout << needs << " periods of reduced load\n";
    return broken;
  }

  /// Makes a random upstream ask for less load, again and again; several
  /// periods may overlap.
  void ScheduleLoadReduction() {
    mReductionTimer = mLoop.After(Pick(300, kMaxReductionPause), [this] {
      const auto n = static_cast<int>(mUpstreams.size());
      SoakUpstream& upstream = *mUpstreams[Pick(0, n - 1)];
      const ReductionKind kind =
          Pick(0, 1) == 0 ? ReductionKind::kLimit : ReductionKind::kBackoff;
      if (!mEnding && upstream.IsSteady()) {
        upstream.ReduceLoad(kind);
      }
      ScheduleLoadReduction();
    });
  }

  /// Handles the end of a change; the first acknowledged one starts the load.
  void OnChangeSettled() {
    if (!mStarted && mOperator.Acknowledged()) {
      mStarted = true;
      mStartTimer = mLoop.After(kWarmUp, [this] { StartLoad(); });
    }
    if (!mEnding) {
      mChangeTimer = mLoop.After(Pick(100, kMaxChangePause),
                                 [this] { mOperator.Change(); });
    }
  }

  void StartLoad() {
    ReplaceFile(FLAGS_up_file, "up");
    for (int i = 0; i < FLAGS_callers; i++) {
      mCallers.push_back(std::make_unique<SoakCaller>(
          mLoop, "c" + std::to_string(i),
          SoakCallerOptions{.mRouters = mRouters,
                            .mRecord = &mRecord,
                            .mRandom = &mRandom,
                            .mMaySend = [this] { return !mEnding; },
                            .mOnlySafe = FLAGS_retries}));
    }
    if (!FLAGS_retries) {
      ScheduleFault();
    }
    if (FLAGS_needs) {
      ScheduleLoadReduction();
    }
    mEndTimer = mLoop.After(Length(), [this] {
      mEnding = true;
      mEndTimer = mLoop.Every(100, [this] { EndIfIdle(); });
    });
  }

  void InjectFault(SoakUpstream& aEngine) {
    const int ways = kEndFaultKinds + (FLAGS_links ? kLinkFaultKinds : 0);
    const int how = Pick(0, ways - 1);
    if (how == 0) {
      aEngine.Crash();
    } else if (how == 1) {
      aEngine.Leave();
    } else {
      aEngine.InjectLinkFault(how - kEndFaultKinds);
    }
  }

  /// Injects faults again and again: an engine crashes, leaves, or loses its
  /// network; only in a zone where no engine is leaving or down.
  void ScheduleFault() {
    mFaultTimer = mLoop.After(Pick(500, kMaxFaultPause), [this] {
      const int zone = Pick(0, kZones - 1);
      const int first = zone * (kEnginesOfZone + 1);
      bool steady = !mEnding;
      for (int i = 0; i < kEnginesOfZone; i++) {
        steady = steady && mUpstreams[first + i]->IsSteady();
      }
      if (steady) {
        SoakUpstream& engine = *mUpstreams[first + Pick(0, kEnginesOfZone - 1)];
        InjectFault(engine);
      }
      ScheduleFault();
    });
  }

  void EndIfIdle() {
    for (const auto& caller : mCallers) {
      if (caller->Busy()) {
        return;
      }
    }
    Finish();
  }

  void Finish() {
    if (mFinishing) {
      return;
    }
    mFinishing = true;
    mOperator.ReadBack([this](bool aGood) {
      mReadBack = aGood;
      mLoop.Stop();
    });
  }

  /// Time for engines to receive their layers and for routers to learn of them.
  static constexpr Millis kWarmUp = 2500;

  EventLoop mLoop;
  std::mt19937 mRandom;
  SoakRecord mRecord;
  SoakOperator mOperator;
  std::string mControlsText;  ///< As read last.
  std::vector<SoakRouter> mRouters;
  std::vector<std::unique_ptr<SoakUpstream>> mUpstreams;
  std::vector<std::unique_ptr<SoakCaller>> mCallers;
  bool mStarted = false;
  bool mEnding = false;
  bool mFinishing = false;
  bool mReadBack = false;
  std::unique_ptr<Timer> mControlsTimer;
  std::unique_ptr<Timer> mStartTimer;
  std::unique_ptr<Timer> mChangeTimer;
  std::unique_ptr<Timer> mFaultTimer;
  std::unique_ptr<Timer> mReductionTimer;
  std::unique_ptr<Timer> mEndTimer;
};

int Run(const std::vector<std::string>&) {
  RequireSetting(FLAGS_routers, "--routers");
  RequireSetting(FLAGS_controls, "--controls");
  return Soak().Run();
}

}  // namespace
}  // namespace spindleweir

int main(int aArgc, char** aArgv) {
  return spindleweir::RunProgram(
      aArgc, aArgv, "callers, upstreams and an operator for a soak",
      spindleweir::Run);
}
