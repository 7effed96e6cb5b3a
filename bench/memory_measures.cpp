/// Measures one router's memory where most of its callers are slow: they read
/// nothing of 100 KB answers, or a byte a second, or send bodies a byte a
/// second, beside callers that read well. The router is a process of its own.
#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>

#include "bench/commands.h"
#include "bench/measure.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/log.h"
#include "spindleweir/daemons/joined_control.h"
#include "spindleweir/daemons/relay_router.h"
#include "spindleweir/drivers/stream_client.h"
#include "spindleweir/drivers/stream_server.h"
#include "standins/plain_protocol.h"

namespace spindleweir {

namespace {

constexpr int kSlow = 3000;
constexpr int kGood = 200;
constexpr int kUpstreams = 8;
constexpr std::size_t kAnswer = 100 * 1000;
constexpr std::size_t kBody = 1000;
/// As the small windows of a mobile link.
constexpr int kCallerWindow = 2048;
constexpr std::size_t kWindow = 8 * 1024;
constexpr std::size_t kConnections = 3300;
/// An answer that is unread for so long is cut by its upstream.
constexpr Millis kCutUnread = 3000;
constexpr Millis kGoodPause = 1000;
constexpr Millis kSlowPeriod = 1000;
constexpr Millis kGiveUp = 20000;

/// How one router is set up.
struct MemoryCase {
  std::string mName;
  std::size_t mMemoryBytes = 0;
  bool mSlowCallers = true;
};

/// What a router's process says of itself at its end.
struct RouterFigures {
  double mPeakMb = 0;
  double mBaseMb = 0;
  std::int64_t mMostHeld = 0;
  std::int64_t mMostCommitted = 0;
  std::int64_t mCut = 0;
  std::int64_t mRefused = 0;
  std::int64_t mHandedOn = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("peak", mPeakMb);
    aCodec.Required("base", mBaseMb);
    aCodec.Required("held", mMostHeld);
    aCodec.Required("committed", mMostCommitted);
    aCodec.Required("cut", mCut);
    aCodec.Required("refused", mRefused);
    aCodec.Required("handed_on", mHandedOn);
  }
};

/// A figure of /proc/self/status in MB.
double StatusMb(const std::string& aName) {
  std::ifstream file("/proc/self/status");
  std::string word;
  while (file >> word) {
    if (word == aName) {
      double kilobytes = 0;
      file >> kilobytes;
      return kilobytes * 1024 / 1e6;
    }
  }
  return 0;
}

Endpoint FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  (void)bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  socklen_t n = sizeof(address);
  (void)getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
  close(fd);
  return {"127.0.0.1", ntohs(address.sin_port)};
}

/// The router's process: writes its port to aPipe, then its figures.
void RunRouter(const MemoryCase& aCase, const Endpoint& aSeed, int aPipe) {
  prctl(PR_SET_PDEATHSIG, SIGTERM);
  StartLog("error", "router");
  EventLoop loop;
  RelayOptions options;
  options.mId = "router";
  options.mZone = "z";
  options.mListen = {"127.0.0.1", 0};
  options.mSeeds = {aSeed};
  options.mHeartbeatAddress = "127.0.0.1:7";
  options.mClusterKey = "secret";
  options.mLeaseLength = 20000;
  options.mMemoryBytes = aCase.mMemoryBytes;
  options.mSocketBufferBytes = kWindow;
  options.mMaxConnections = kConnections;
  options.mCallers = PlainCallerProtocol();
  options.mEngines = PlainEngineProtocol();
  RelayRouter router(loop, std::move(options));
  const int port = router.Address().mPort;
  (void)!write(aPipe, &port, sizeof(port));
  RouterFigures figures;
  figures.mBaseMb = StatusMb("VmRSS:");
  const auto value = [&router](const char* aName) {
    return router.OwnCounters().Value(aName);
  };
  const auto sample = loop.Every(20, [&] {
    router.RefreshGauges();
    figures.mMostHeld = std::max(figures.mMostHeld, value("memory_held_bytes"));
    figures.mMostCommitted =
        std::max(figures.mMostCommitted, value("memory_committed_bytes"));
  });
  const auto stop = loop.OnStopSignal([&loop] { loop.Stop(); });
  loop.Run();
  figures.mPeakMb = StatusMb("VmHWM:");
  figures.mCut = value("memory_cut");
  figures.mRefused = value("memory_refused");
  figures.mHandedOn = value("memory_handed_on");
  const std::string text = DumpJson(ToJson(figures));
  (void)!write(aPipe, text.data(), text.size());
}

std::string BodyOf(const std::string& aRequest) {
  std::string body;
  while (body.size() < kAnswer) {
    body += aRequest + " ";
  }
  body.resize(kAnswer);
  return body;
}

/// Answers with 100 KB, and cuts what is not read.
class LargeUpstream {
 public:
  LargeUpstream(EventLoop& aLoop, std::map<std::string, int>& aRuns)
      : mLoop(aLoop),
        mRuns(aRuns),
        mServer(aLoop,
                {.mListen = {"127.0.0.1", 0},
                 .mHandle =
                     [this](const std::shared_ptr<StreamExchange>& aExchange) {
                       Handle(aExchange);
                     },
                 .mRefuse = [](StreamExchange& aExchange,
                               ResultCode) { aExchange.Abort(); }}) {}

  std::string Address() const { return mServer.Address().Text(); }

 private:
  void Handle(const std::shared_ptr<StreamExchange>& aExchange) {
    const std::string* request =
        FindHeader(aExchange->Head().mHeaders, "X-Request");
    mRuns[*request]++;
    aExchange->Start(200, {{"X-Signature", "s"}}, kAnswer);
    aExchange->Write(BodyOf(*request));
    if (aExchange->PendingBytes() == 0) {
      aExchange->End();
      return;
    }
    // Destroyed by its own end, so that it is held by nothing else.
    const auto timer = std::make_shared<std::unique_ptr<Timer>>();
    *timer = mLoop.After(kCutUnread, [aExchange] { aExchange->Abort(); });
    aExchange->OnClosed([timer] { timer->reset(); });
    aExchange->OnDrained([timer, exchange = aExchange.get()] {
      timer->reset();
      exchange->End();
    });
  }

  EventLoop& mLoop;
  std::map<std::string, int>& mRuns;
  StreamServer mServer;
};

enum class Slow { kReadsNothing, kReadsAByte, kSendsAByte };

/// A slow caller; comes again on a new connection when its own is closed.
class SlowCaller {
 public:
  SlowCaller(Endpoint aServer, int aNumber)
      : mServer(std::move(aServer)),
        mNumber(aNumber),
        mHow(static_cast<Slow>(aNumber % 3)) {
    Connect();
  }
  ~SlowCaller() { close(mFd); }
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;

  void Poke() {
    char byte = 0;
    const bool reads = mHow != Slow::kReadsNothing;
    const ssize_t n = recv(mFd, &byte, 1, reads ? 0 : MSG_PEEK);
    const bool gone = n == 0 || (n < 0 && errno != EAGAIN);
    if (gone) {
      close(mFd);
      Connect();
      return;
    }
    if (mSent == mText.size()) {
      return;
    }
    const bool drips = mHow == Slow::kSendsAByte && mSent >= mHead;
    const std::size_t end = mHow == Slow::kSendsAByte ? mHead : mText.size();
    const ssize_t sent =
        send(mFd, mText.data() + mSent, drips ? 1 : end - mSent, MSG_NOSIGNAL);
    mSent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }

 private:
  void Connect() {
    mFd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    (void)setsockopt(mFd, SOL_SOCKET, SO_RCVBUF, &kCallerWindow,
                     sizeof(kCallerWindow));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(mServer.mPort));
    inet_pton(AF_INET, mServer.mHost.c_str(), &address.sin_addr);
    (void)connect(mFd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    const bool once = mNumber % 5 == 0;
    mText = std::string("POST ") + (once ? "/pay/x" : "/look/x") +
            " HTTP/1.1\r\nHost: shop\r\nX-Request: slow" +
            std::to_string(mNumber) + "-" + std::to_string(mTimes++) +
            "\r\nX-Key: key\r\nContent-Length: " + std::to_string(kBody) +
            "\r\n\r\n";
    mHead = mText.size();
    mText += std::string(kBody, 'b');
    mSent = 0;
  }

  Endpoint mServer;
  int mNumber;
  Slow mHow;
  int mFd = -1;
  int mTimes = 0;
  std::string mText;
  std::size_t mHead = 0;
  std::size_t mSent = 0;
};

/// What the callers that read well saw.
struct GoodFigures {
  std::vector<double> mMillis;  ///< From the first attempt to the whole answer.
  int mRefusals = 0;
  int mLost = 0;
  int mWrong = 0;
  int mLate = 0;  ///< Gave up after 20 s.
};

/// Reads well; comes back when it is told to.
class GoodCaller {
 public:
  GoodCaller(EventLoop& aLoop, Endpoint aServer, int aNumber,
             GoodFigures& aFigures)
      : mLoop(aLoop),
        mServer(std::move(aServer)),
        mNumber(aNumber),
        mFigures(aFigures) {
    Pause(kGoodPause * aNumber / kGood);
  }

 private:
  void Pause(Millis aTime) {
    mTimer = mLoop.After(aTime, [this] {
      mBegan = SteadyNow();
      Send();
    });
  }

  void Send() {
    mId = "good" + std::to_string(mNumber) + "-" + std::to_string(mTimes++);
    mStatus = 0;
    mBody.clear();
    mAfter = 0;
    StreamCallOptions options;
    options.mServer = mServer;
    options.mMethod = "POST";
    options.mTarget = mTimes % 2 == 0 ? "/pay/x" : "/look/x";
    options.mHeaders = {{"Host", "shop"}, {"X-Request", mId}, {"X-Key", "key"}};
    options.mTimeout = kGiveUp;
    options.mOnHead = [this](const AnswerHead& aHead) {
      mStatus = aHead.mStatus;
      const std::string* after = FindHeader(aHead.mHeaders, "Retry-After");
      mAfter = after == nullptr ? 0 : static_cast<Millis>(std::stoll(*after));
    };
    options.mOnData = [this](std::string_view aBytes) { mBody += aBytes; };
    options.mOnEnd = [this](StreamEnd aEnd) { Take(aEnd); };
    mCall = StartStreamCall(mLoop, std::move(options));
  }

  void Take(StreamEnd aEnd) {
    const Millis took = SteadyNow() - mBegan;
    const bool notRun = mStatus == 503 || aEnd == StreamEnd::kNotSent;
    if (notRun && took < kGiveUp) {
      mFigures.mRefusals++;
      mTimer = mLoop.After(std::max<Millis>(100, mAfter), [this] { Send(); });
      return;
    }
    if (notRun) {
      mFigures.mLate++;
    } else if (aEnd != StreamEnd::kComplete || mStatus != 200) {
      mFigures.mLost++;
    } else if (mBody != BodyOf(mId)) {
      mFigures.mWrong++;
    } else {
      mFigures.mMillis.push_back(static_cast<double>(took));
    }
    Pause(kGoodPause);
  }

  EventLoop& mLoop;
  Endpoint mServer;
  int mNumber;
  GoodFigures& mFigures;
  int mTimes = 0;
  Millis mBegan = 0;
  std::string mId;
  int mStatus = 0;
  Millis mAfter = 0;
  std::string mBody;
  std::unique_ptr<StreamCall> mCall;
  std::unique_ptr<Timer> mTimer;
};

TrafficConfiguration Traffic() {
  TrafficConfiguration traffic;
  traffic.mVersion = 1;
  const auto add = [&traffic](const char* aName, RouteKind aKind) {
    traffic.mRoutes.push_back({.mName = aName,
                               .mHost = "shop",
                               .mPrefix = std::string("/") + aName + "/",
                               .mKind = aKind,
                               .mTimeout = kGiveUp,
                               .mMaxAttempts = 2,
                               .mTargets = {{"counter", 1}}});
  };
  add("pay", RouteKind::kUnsafe);
  add("look", RouteKind::kSafe);
  traffic.mServices = {{.mName = "counter"}};
  traffic.mWorkspaces = {{"school", {"key"}, -1}};
  traffic.mLimits.mIdleTimeout = 60000;
  return traffic;
}

/// One router's process between callers and upstreams of this one.
class MemoryPlay {
 public:
  MemoryPlay(const MemoryCase& aCase, Millis aLength)
      : mCase(aCase), mLength(aLength), mSeed(FreePort()) {
    mFolder = std::filesystem::temp_directory_path() /
              ("spindleweir-memory-" + std::to_string(getpid()));
    std::filesystem::remove_all(mFolder);
  }
  ~MemoryPlay() { std::filesystem::remove_all(mFolder); }
  MemoryPlay(const MemoryPlay&) = delete;
  MemoryPlay& operator=(const MemoryPlay&) = delete;

  bool Run() {
    int ends[2];
    if (pipe(ends) != 0) {
      return false;
    }
    mProcess = fork();
    if (mProcess == 0) {
      close(ends[0]);
      RunRouter(mCase, mSeed, ends[1]);
      _exit(0);
    }
    close(ends[1]);
    int port = 0;
    const bool began =
        mProcess > 0 && read(ends[0], &port, sizeof(port)) == sizeof(port);
    if (began) {
      Load({"127.0.0.1", port});
    }
    kill(mProcess, SIGTERM);
    std::string text;
    char buf[4096];
    for (ssize_t n = 1; n > 0;) {
      n = read(ends[0], buf, sizeof(buf));
      text.append(buf, static_cast<std::size_t>(std::max<ssize_t>(0, n)));
    }
    close(ends[0]);
    (void)waitpid(mProcess, nullptr, 0);
    if (text.empty()) {
      return false;
    }
    mRouter = FromJson<RouterFigures>(ParseJson(text));
    return began;
  }

  RouterFigures mRouter;
  GoodFigures mGood;
  int mDoubled = 0;

 private:
  ControlOptions ControlAtSeed() const {
    ControlOptions options;
    options.mZone = "z";
    options.mRpcListen = mSeed;
    options.mOperatorListen = {"127.0.0.1", 1};
    options.mClusterKey = "secret";
    options.mData = mFolder.string();
    options.mSeeds = {mSeed};
    options.mFirstStart = true;
    options.mElectionTimeout = 50;
    options.mDocuments = PlainDocumentProtocol();
    options.mEngines = PlainEngineProtocol();
    return options;
  }

  void Load(const Endpoint& aServer) {
    StartLog("error", "control");
    EventLoop loop;
    std::map<std::string, int> runs;
    JoinedControl control(loop, ControlAtSeed());
    std::vector<std::unique_ptr<LargeUpstream>> upstreams;
    for (int i = 0; i < kUpstreams; i++) {
      upstreams.push_back(std::make_unique<LargeUpstream>(loop, runs));
    }
    const std::string document = DumpJson(ToJson(Traffic()));
    std::int64_t sequence = 0;
    const auto beats = loop.Every(500, [&] {
      sequence++;
      control.Publish(document, [](const OperatorAnswer&) {});
      for (int i = 0; i < kUpstreams; i++) {
        control.ApplyHeartbeat(
            {.mInstance = "u" + std::to_string(i),
             .mService = "counter",
             .mAddress = upstreams[static_cast<std::size_t>(i)]->Address(),
             .mZone = "z",
             .mSlots = 400,
             .mSequence = sequence},
            [](const HeartbeatAnswer&) {});
      }
    });
    std::vector<std::unique_ptr<SlowCaller>> slow;
    std::vector<std::unique_ptr<GoodCaller>> good;
    constexpr Millis kStart = 3000;
    constexpr int kEachTime = 100;
    const auto begin = loop.After(kStart, [&] {
      for (int i = 0; i < kGood; i++) {
        good.push_back(std::make_unique<GoodCaller>(loop, aServer, i, mGood));
      }
    });
    std::unique_ptr<Timer> add;
    const auto crowd = loop.After(kStart, [&] {
      add = loop.Every(50, [&] {
        const bool more = mCase.mSlowCallers && slow.size() < kSlow;
        for (int i = 0; more && i < kEachTime; i++) {
          slow.push_back(std::make_unique<SlowCaller>(
              aServer, static_cast<int>(slow.size())));
        }
      });
    });
    const auto poke = loop.Every(kSlowPeriod, [&] {
      for (const auto& caller : slow) {
        caller->Poke();
      }
    });
    const auto end = loop.After(kStart + mLength, [&loop] { loop.Stop(); });
    loop.Run();
    for (const auto& [request, n] : runs) {
      mDoubled += request.starts_with("good") && n > 1 ? 1 : 0;
    }
  }

  MemoryCase mCase;
  Millis mLength;
  Endpoint mSeed;
  std::filesystem::path mFolder;
  pid_t mProcess = -1;
};

void PlayCase(const MemoryCase& aCase, Millis aLength, bool aJson) {
  MemoryPlay play(aCase, aLength);
  if (!play.Run()) {
    std::cerr << "the router did not start, or was lost\n";
    return;
  }
  const auto print = [&](const char* aMeasure, double aValue,
                         const char* aUnit) {
    PrintMeasure({.mMeasure = std::string("memory_") + aMeasure,
                  .mCase = aCase.mName,
                  .mVariant = aCase.mMemoryBytes == 0 ? "caps" : "account",
                  .mValue = aValue,
                  .mUnit = aUnit},
                 aJson);
  };
  const RouterFigures& router = play.mRouter;
  const GoodFigures& good = play.mGood;
  print("base", router.mBaseMb, "MB");
  print("peak", router.mPeakMb, "MB");
  print("most_held", static_cast<double>(router.mMostHeld) / 1e6, "MB");
  print("most_committed", static_cast<double>(router.mMostCommitted) / 1e6,
        "MB");
  print("cut", static_cast<double>(router.mCut), "callers");
  print("refused", static_cast<double>(router.mRefused), "requests");
  print("handed_on", static_cast<double>(router.mHandedOn), "answers");
  print("good_served", static_cast<double>(good.mMillis.size()), "answers");
  print("good_refusals", good.mRefusals, "answers");
  print("good_p50", Percentile(good.mMillis, 0.5), "ms");
  print("good_p99", Percentile(good.mMillis, 0.99), "ms");
  print("good_lost", good.mLost, "answers");
  print("good_wrong", good.mWrong, "answers");
  print("good_gave_up", good.mLate, "requests");
  print("good_doubled", play.mDoubled, "requests");
}

}  // namespace

void MeasureMemory(const BenchOptions& aOptions) {
  constexpr std::size_t kMemory = 160 * 1000 * 1000;
  const std::vector<MemoryCase> cases = {
      {"200 callers alone", 0, false},
      {"200 callers alone", kMemory, false},
      {"beside 3,000 slow ones", 0, true},
      {"beside 3,000 slow ones", kMemory, true}};
  const auto length = static_cast<Millis>(aOptions.mSeconds * 1000 /
                                          static_cast<double>(cases.size()));
  for (const MemoryCase& item : cases) {
    // In a process of its own: a router's process begins as a copy of it, and
    // is not to begin with what an earlier play left.
    std::cout.flush();
    const pid_t process = fork();
    if (process == 0) {
      PlayCase(item, std::max<Millis>(3000, length - 4000), aOptions.mJson);
      std::cout.flush();
      _exit(0);
    }
    (void)waitpid(process, nullptr, 0);
  }
}

}  // namespace spindleweir
