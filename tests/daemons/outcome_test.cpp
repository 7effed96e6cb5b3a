/// A refusal promises that its request has not run and never will. Checks that
/// the router refuses no request that may have run.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

/// Statuses that by the users' rules mean that a request did not run.
constexpr int kPromises[] = {408, 421, 429, 503};

bool Promises(int aStatus) {
  return std::find(std::begin(kPromises), std::end(kPromises), aStatus) !=
         std::end(kPromises);
}

/// An upstream that is only a socket, controlled by the test.
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

  /// Fills the listen backlog, so that further connections are not accepted.
  void Fill() {
    for (int i = 0; i < 4; i++) {
      mFillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      (void)connect(mFillers.back(), reinterpret_cast<sockaddr*>(&mAddress),
                    sizeof(mAddress));
    }
  }

  /// Accepts a connection if none is open; true if one is open.
  bool Accept() {
    if (mFd < 0) {
      mFd = accept4(mListener, nullptr, nullptr, SOCK_NONBLOCK);
    }
    return mFd >= 0;
  }

  /// Reads the available bytes; true if a connection is open. A connection that
  /// ends without a byte was a reachability check, not a request.
  bool Receive() {
    if (mEnded && mReceived.empty()) {
      Next();
    }
    Accept();
    char buf[65536];
    ssize_t n = 0;
    while (mFd >= 0 && (n = read(mFd, buf, sizeof(buf))) > 0) {
      mReceived.append(buf, static_cast<std::size_t>(n));
      mAllReceived.append(buf, static_cast<std::size_t>(n));
    }
    mEnded = mEnded || (mFd >= 0 && n == 0);
    return mFd >= 0;
  }

  void Send(const std::string& aText) const {
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
    mReceived.clear();
    mEnded = false;
  }

  const std::string& Received() const { return mReceived; }
  /// Of all connections.
  const std::string& AllReceived() const { return mAllReceived; }
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
  std::string mReceived;
  std::string mAllReceived;
  std::vector<int> mFillers;
};

/// A request in progress.
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

/// Publishes a configuration and waits until the upstream is known.
void BeginWith(RelayFixture& aFixture, const SocketUpstream& aUpstream,
               const TrafficConfiguration& aTraffic = Traffic(7)) {
  REQUIRE(aFixture.Publish(Document(aTraffic)).mCode == ResultCode::kOk);
  aFixture.SendHeartbeat({.mInstance = "socket",
                          .mService = "counter",
                          .mAddress = aUpstream.Address(),
                          .mZone = "z",
                          .mSlots = 6});
  REQUIRE(aFixture.RunUntil([&] { return aFixture.mRouter->Ready(); }));
  // Until the router knows the upstream as well.
  aFixture.Wait(600);
}

}  // namespace

Test(outcomes, a_failure_of_the_upstream_is_no_refusal) {
  RelayFixture fixture;
  fixture.Begin();
  for (int status : kPromises) {
    // The answer doesn't state that the request did not run, so it may have.
    fixture.mA.SetFailureStatus(status);
    fixture.mB.SetFailureStatus(status);
    fixture.mA.QueueActions({UpstreamAction::kFail});
    fixture.mB.QueueActions({UpstreamAction::kFail});
    const Answer answer = fixture.Call("/pay/1");
    CHECK(answer.mStatus == 502);
    CHECK(fixture.RunsOfLast() == 1);
    fixture.mA.QueueActions({});
    fixture.mB.QueueActions({});
  }
  SECTION("for a safe request it is forwarded") {
    fixture.mA.QueueActions({UpstreamAction::kFail, UpstreamAction::kFail});
    fixture.mB.QueueActions({UpstreamAction::kFail, UpstreamAction::kFail});
    CHECK(fixture.Call("/look/1").mStatus == 503);
  }
}

Test(outcomes, an_expired_deadline_is_a_refusal_only_if_nothing_was_sent) {
  SECTION("sent and unanswered") {
    RelayFixture fixture;
    SocketUpstream upstream;
    BeginWith(fixture, upstream);
    const auto call = Start(fixture, "/pay/1", 400);
    REQUIRE(fixture.RunUntil([&] { return call->mDone; }));
    CHECK(call->mStatus == 504);
    REQUIRE(fixture.RunUntil([&] { return upstream.Receive(); }));
    CHECK(upstream.Received().starts_with("POST /pay/1"));
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
  SECTION("still connecting, nothing sent") {
    RelayFixture fixture;
    SocketUpstream upstream(0);
    BeginWith(fixture, upstream);
    upstream.Fill();
    const auto call = Start(fixture, "/pay/1", 300);
    REQUIRE(fixture.RunUntil([&] { return call->mDone; }));
    CHECK(Promises(call->mStatus));
    // Nothing is sent after the upstream accepts connections again either.
    const Millis until = SteadyNow() + 2500;
    fixture.RunUntil([&] {
      if (upstream.Receive()) {
        upstream.Next();
      }
      return SteadyNow() > until;
    });
    CHECK(upstream.AllReceived().empty());
  }
}

Test(outcomes, a_connection_that_breaks_after_sending_is_no_refusal) {
  RelayFixture fixture;
  SocketUpstream upstream;
  BeginWith(fixture, upstream);
  const auto ends = [&](bool aReset) {
    const auto call = Start(fixture, "/pay/1", 5000);
    REQUIRE(fixture.RunUntil(
        [&] { return upstream.Receive() && !upstream.Received().empty(); }));
    if (!aReset) {
      upstream.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
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

Test(outcomes, an_upstream_that_refuses_early_gets_no_more_of_the_body) {
  RelayFixture fixture;
  SocketUpstream upstream;
  BeginWith(fixture, upstream);
  constexpr std::size_t kBody = 4 * 1024 * 1024;
  const auto call = Start(fixture, "/pay/1", 3000, std::string(kBody, 'x'));
  // The upstream refuses each attempt before it has received the body, and
  // would run a request that it receives in full.
  std::size_t maxReceived = 0;
  bool refused = false;
  REQUIRE(fixture.RunUntil([&] {
    if (!refused && upstream.Accept()) {
      upstream.Send(
          "HTTP/1.1 503 Full\r\nX-Ran: no\r\nContent-Length: 0\r\n\r\n");
      refused = true;
    } else if (refused && upstream.Receive() && upstream.Ended()) {
      maxReceived = std::max(maxReceived, upstream.Received().size());
      upstream.Next();
      refused = false;
    }
    return call->mDone;
  }));
  CHECK(Promises(call->mStatus));
  CHECK(maxReceived < kBody);
}

Test(outcomes, a_caller_that_disconnects_causes_no_second_run) {
  RelayFixture fixture;
  fixture.Begin();
  fixture.mA.QueueActions({UpstreamAction::kSilent});
  fixture.mB.QueueActions({UpstreamAction::kSilent});
  auto call = Start(fixture, "/pay/1", 3000);
  REQUIRE(fixture.RunUntil([&] { return fixture.RunsOfLast() == 1; }));
  call->mCall.reset();
  REQUIRE(fixture.RunUntil(
      [&] { return fixture.mA.Closed() + fixture.mB.Closed() == 1; }));
  fixture.Wait(300);
  CHECK(fixture.RunsOfLast() == 1);
}

Test(outcomes, requests_that_may_not_be_repeated_are_not_moved) {
  RelayFixture fixture;
  fixture.Begin();
  TrafficConfiguration traffic = Traffic(8);
  traffic.mRoutes.back().mResumable = false;
  REQUIRE(fixture.Publish(Document(traffic)).mCode == ResultCode::kOk);
  REQUIRE(fixture.RunUntil([&fixture] {
    return fixture.mRouter->OwnCounters().Value("traffic_version") == 8;
  }));
  // Longer than the stall timeout of a stream's upstream.
  constexpr Millis kDeadline = 3500;
  for (const char* target : {"/pay/1", "/stream/1"}) {
    fixture.mA.QueueActions({UpstreamAction::kSilent});
    fixture.mB.QueueActions({UpstreamAction::kSilent});
    const auto call = Start(fixture, target, kDeadline);
    REQUIRE(fixture.RunUntil([&] { return call->mDone; }));
    CHECK(call->mStatus == 504);
    CHECK(fixture.RunsOfLast() == 1);
    fixture.mA.QueueActions({});
    fixture.mB.QueueActions({});
  }
}
