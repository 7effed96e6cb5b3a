/// What a refusal promises: what it was given for has not run and never will,
/// however the outcome becomes known.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

/// Answers by which the users' rules say that a request did not run.
constexpr int kPromises[] = {408, 421, 429, 503};

bool Promises(int aStatus) {
  return std::find(std::begin(kPromises), std::end(kPromises), aStatus) !=
         std::end(kPromises);
}

/// An upstream that is no more than a socket: what it does is the test's.
class SocketUpstream {
 public:
  explicit SocketUpstream(int aBacklog = 8)
      : mListener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)bind(mListener, reinterpret_cast<sockaddr*>(&address),
               sizeof(address));
    (void)listen(mListener, aBacklog);
    socklen_t n = sizeof(mAddress);
    (void)getsockname(mListener, reinterpret_cast<sockaddr*>(&mAddress), &n);
  }

  ~SocketUpstream() {
    Close();
    for (int fd : mFillers) {
      close(fd);
    }
    close(mListener);
  }
  SocketUpstream(const SocketUpstream&) = delete;
  SocketUpstream& operator=(const SocketUpstream&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(ntohs(mAddress.sin_port));
  }

  /// Fills the queue of connections, so that no other one is answered.
  void Fill() {
    for (int i = 0; i < 4; i++) {
      mFillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      (void)connect(mFillers.back(), reinterpret_cast<sockaddr*>(&mAddress),
                    sizeof(mAddress));
    }
  }

  /// True once a connection is there.
  bool Accept() {
    if (mFd < 0) {
      mFd = accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK);
    }
    return mFd >= 0;
  }

  /// Takes what has come; true once a connection is there. One that ends and
  /// brought nothing was a look whether the upstream is there, and no request.
  bool Take() {
    if (mEnded && mGot.empty()) {
      Next();
    }
    Accept();
    char buf[65536];
    ssize_t n = 0;
    while (mFd >= 0 && (n = read(mFd, buf, sizeof(buf))) > 0) {
      mGot.append(buf, static_cast<std::size_t>(n));
      mAllGot.append(buf, static_cast<std::size_t>(n));
    }
    mEnded = mEnded || (mFd >= 0 && n == 0);
    return mFd >= 0;
  }

  void Say(const std::string& aText) const {
    (void)!write(mFd, aText.data(), aText.size());
  }

  /// Closes the connection with a reset.
  void Reset() {
    const linger now{.l_onoff = 1, .l_linger = 0};
    (void)setsockopt(mFd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Next();
  }

  /// Goes on to the next connection.
  void Next() {
    Close();
    mGot.clear();
    mEnded = false;
  }

  const std::string& Got() const { return mGot; }
  /// Of all connections.
  const std::string& AllGot() const { return mAllGot; }
  bool Ended() const { return mEnded; }

 private:
  void Close() {
    if (mFd >= 0) {
      close(mFd);
    }
    mFd = -1;
  }

  int mListener;
  int mFd = -1;
  bool mEnded = false;
  sockaddr_in mAddress{};
  std::string mGot;
  std::string mAllGot;
  std::vector<int> mFillers;
};

/// A request under way.
struct OpenCall {
  bool mDone = false;
  int mStatus = 0;
  StreamEnd mEnd = StreamEnd::kNotSent;
  std::unique_ptr<StreamCall> mCall;
};

std::shared_ptr<OpenCall> Start(RelayFixture& aFixture,
                                const std::string& aTarget, Millis aDeadline,
                                std::string aBody = "") {
  auto open = std::make_shared<OpenCall>();
  StreamCallOptions options;
  options.mServer = aFixture.mRouter->Address();
  options.mMethod = "POST";
  options.mTarget = aTarget;
  options.mHeaders = {{"Host", "shop"},
                      {"X-Request", "r" + std::to_string(++aFixture.mRequest)},
                      {"X-Key", "key"},
                      {"X-Deadline", std::to_string(aDeadline)}};
  options.mBody = std::move(aBody);
  options.mOnHead = [open](const AnswerHead& aHead) {
    open->mStatus = aHead.mStatus;
  };
  options.mOnEnd = [open](StreamEnd aEnd) {
    open->mEnd = aEnd;
    open->mDone = true;
  };
  open->mCall = StartStreamCall(aFixture.mLoop, std::move(options));
  return open;
}

/// A configuration in force, and one upstream known.
void BeginWith(RelayFixture& aFixture, const SocketUpstream& aUpstream,
               const TrafficConfiguration& aTraffic = Traffic(7)) {
  REQUIRE(aFixture.Publish(Document(aTraffic)).mCode == ResultCode::kOk);
  aFixture.SendHeartbeat({.mInstance = "socket",
                          .mService = "counter",
                          .mAddress = aUpstream.Address(),
                          .mZone = "z",
                          .mSlots = 6});
  REQUIRE(aFixture.RunUntil([&] { return aFixture.mRouter->Ready(); }));
  // Until the router has heard of it as well.
  aFixture.Wait(600);
}

}  // namespace

Test(outcomes, a_failure_of_the_upstream_is_no_promise) {
  RelayFixture fixture;
  fixture.Begin();
  for (int status : kPromises) {
    // It says nothing of not running, so that it may have run.
    fixture.mA.FailWith(status);
    fixture.mB.FailWith(status);
    fixture.mA.Next({UpstreamAct::kFail});
    fixture.mB.Next({UpstreamAct::kFail});
    const Answer answer = fixture.Call("/pay/1");
    CHECK(answer.mStatus == 502);
    CHECK(fixture.RunsOfLast() == 1);
    fixture.mA.Next({});
    fixture.mB.Next({});
  }
  SECTION("of what may be repeated it is handed on") {
    fixture.mA.Next({UpstreamAct::kFail, UpstreamAct::kFail});
    fixture.mB.Next({UpstreamAct::kFail, UpstreamAct::kFail});
    CHECK(fixture.Call("/look/1").mStatus == 503);
  }
}

Test(outcomes, a_deadline_that_passes_is_a_promise_only_if_nothing_left) {
  SECTION("sent and unanswered") {
    RelayFixture fixture;
    SocketUpstream upstream;
    BeginWith(fixture, upstream);
    const auto call = Start(fixture, "/pay/1", 400);
    REQUIRE(fixture.RunUntil([&] { return call->mDone; }));
    CHECK(call->mStatus == 504);
    REQUIRE(fixture.RunUntil([&] { return upstream.Take(); }));
    CHECK(upstream.Got().starts_with("POST /pay/1"));
  }
  SECTION("sent in part") {
    RelayFixture fixture;
    SocketUpstream upstream;
    BeginWith(fixture, upstream);
    const auto call =
        Start(fixture, "/pay/1", 400, std::string(4 * 1024 * 1024, 'x'));
    REQUIRE(fixture.RunUntil([&] { return call->mDone; }));
    CHECK(call->mStatus == 504);
  }
  SECTION("still connecting, all bytes held here") {
    RelayFixture fixture;
    SocketUpstream upstream(0);
    BeginWith(fixture, upstream);
    upstream.Fill();
    const auto call = Start(fixture, "/pay/1", 300);
    REQUIRE(fixture.RunUntil([&] { return call->mDone; }));
    CHECK(Promises(call->mStatus));
    // The promise is kept once the upstream takes connections again.
    const Millis until = SteadyNow() + 2500;
    fixture.RunUntil([&] {
      if (upstream.Take()) {
        upstream.Next();
      }
      return SteadyNow() > until;
    });
    CHECK(upstream.AllGot().empty());
  }
}

Test(outcomes, a_connection_that_breaks_after_the_bytes_left_is_no_promise) {
  RelayFixture fixture;
  SocketUpstream upstream;
  BeginWith(fixture, upstream);
  const auto ends = [&](bool aReset) {
    const auto call = Start(fixture, "/pay/1", 5000);
    REQUIRE(fixture.RunUntil(
        [&] { return upstream.Take() && !upstream.Got().empty(); }));
    if (!aReset) {
      upstream.Say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    }
    upstream.Reset();
    REQUIRE(fixture.RunUntil([&] { return call->mDone; }));
    return call->mStatus;
  };
  SECTION("without an answer") {
    CHECK(ends(true) == 502);
  }
  SECTION("within one") {
    CHECK(ends(false) == 502);
  }
}

Test(outcomes, an_upstream_that_says_not_run_gets_no_more_of_it) {
  RelayFixture fixture;
  SocketUpstream upstream;
  BeginWith(fixture, upstream);
  constexpr std::size_t kBody = 4 * 1024 * 1024;
  const auto call = Start(fixture, "/pay/1", 3000, std::string(kBody, 'x'));
  // It refuses each attempt before the body is in, and would run one that
  // becomes whole.
  std::size_t most = 0;
  bool said = false;
  REQUIRE(fixture.RunUntil([&] {
    if (!said && upstream.Accept()) {
      upstream.Say(
          "HTTP/1.1 503 Full\r\nX-Ran: no\r\nContent-Length: 0\r\n\r\n");
      said = true;
    } else if (said && upstream.Take() && upstream.Ended()) {
      most = std::max(most, upstream.Got().size());
      upstream.Next();
      said = false;
    }
    return call->mDone;
  }));
  CHECK(Promises(call->mStatus));
  CHECK(most < kBody);
}

Test(outcomes, a_caller_that_leaves_causes_no_second_run) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mA.Next({UpstreamAct::kSilent});
  fixture.mB.Next({UpstreamAct::kSilent});
  auto call = Start(fixture, "/pay/1", 3000);
  REQUIRE(fixture.RunUntil([&] { return fixture.RunsOfLast() == 1; }));
  call->mCall.reset();
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.mA.Closed() + fixture.mB.Closed() == 1; }));
  fixture.Wait(300);
  CHECK(fixture.RunsOfLast() == 1);
}

Test(outcomes, nothing_that_may_not_be_repeated_is_switched) {
  RelayFixture fixture;
  fixture.Begin();
  TrafficConfiguration traffic = Traffic(8);
  traffic.mRoutes.back().mResumable = false;
  REQUIRE(fixture.Publish(Document(traffic)).mCode == ResultCode::kOk);
  REQUIRE(fixture.RunUntil([&fixture] {
    return fixture.mRouter->OwnCounters().Value("traffic_version") == 8;
  }));
  // Longer than an upstream of a stream may be silent.
  constexpr Millis kDeadline = 3500;
  for (const char* target : {"/pay/1", "/stream/1"}) {
    fixture.mA.Next({UpstreamAct::kSilent});
    fixture.mB.Next({UpstreamAct::kSilent});
    const auto call = Start(fixture, target, kDeadline);
    REQUIRE(fixture.RunUntil([&] { return call->mDone; }));
    CHECK(call->mStatus == 504);
    CHECK(fixture.RunsOfLast() == 1);
    fixture.mA.Next({});
    fixture.mB.Next({});
  }
}
