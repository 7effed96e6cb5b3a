/// Callers that read or send almost nothing, beside normal callers.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr std::size_t kMemory = 8 * 1000 * 1000;
constexpr std::size_t kAnswer = 100 * 1000;
constexpr int kSmallWindow = 2048;

/// What a slow caller does at each step.
enum class Slow { kReadsNothing, kReadsAByte, kSendsAByte };

/// One caller with its own socket.
class SlowCaller {
 public:
  SlowCaller(const Endpoint& aServer, const std::string& aTarget,
             const std::string& aRequest, Slow aHow)
      : mFd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)), mHow(aHow) {
    (void)setsockopt(mFd, SOL_SOCKET, SO_RCVBUF, &kSmallWindow,
                     sizeof(kSmallWindow));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aServer.mPort));
    inet_pton(AF_INET, aServer.mHost.c_str(), &address.sin_addr);
    (void)connect(mFd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    mUnsent = "POST " + aTarget +
              " HTTP/1.1\r\nHost: shop\r\nX-Request: " + aRequest +
              "\r\nX-Key: key\r\nContent-Length: 1000\r\n\r\n";
    mBody = mUnsent.size();
    mUnsent += std::string(1000, 'b');
  }
  ~SlowCaller() { close(mFd); }
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;

  void Step() {
    const std::size_t n = mHow == Slow::kSendsAByte && mSent >= mBody ? 1
                          : mHow == Slow::kSendsAByte ? mBody - mSent
                                                      : mUnsent.size() - mSent;
    if (mSent < mUnsent.size()) {
      mSent += static_cast<std::size_t>(std::max<ssize_t>(
          0, send(mFd, mUnsent.data() + mSent, n, MSG_NOSIGNAL)));
    }
    if (mHow == Slow::kReadsAByte) {
      char byte = 0;
      (void)recv(mFd, &byte, 1, 0);
    }
  }

 private:
  int mFd;
  Slow mHow;
  std::string mUnsent;
  std::size_t mBody = 0;  ///< Offset of the body in mUnsent.
  std::size_t mSent = 0;
};

/// Slow callers, stepped by a timer; records the max. memory held meanwhile.
struct Crowd {
  explicit Crowd(RelayFixture& aFixture) : mFixture(aFixture) {
    mTimer = aFixture.mLoop.Every(20, [this] { Step(); });
  }

  void Add(int aCount, const std::string& aTarget, Slow aHow) {
    for (int i = 0; i < aCount; i++) {
      const std::string id = "slow" + std::to_string(mCallers.size());
      mIds.push_back(id);
      mCallers.push_back(std::make_unique<SlowCaller>(
          mFixture.mRouter->Address(), aTarget, id, aHow));
    }
  }

  std::int64_t Gauge(const char* aName) const {
    return mFixture.mRouter->OwnCounters().Value(aName);
  }

  void Step() {
    for (const auto& caller : mCallers) {
      caller->Step();
    }
    mFixture.mRouter->RefreshGauges();
    mMaxHeld = std::max(mMaxHeld, Gauge("memory_held_bytes"));
  }

  RelayFixture& mFixture;
  std::vector<std::unique_ptr<SlowCaller>> mCallers;
  std::vector<std::string> mIds;
  std::int64_t mMaxHeld = 0;
  std::unique_ptr<Timer> mTimer;
};

/// Connections that the router has closed unread.
std::int64_t UnreadConnections(RelayFixture& aFixture) {
  return aFixture.mRouter->OwnCounters().Value("connections_refused");
}

/// Repeats a call while it is refused, as callers do. A router without
/// processor time leaves new connections unread.
Answer CallUntilServed(RelayFixture& aFixture, const std::string& aTarget) {
  Answer answer;
  for (int i = 0; i < 400; i++) {
    const std::int64_t before = UnreadConnections(aFixture);
    answer = aFixture.Call(aTarget);
    if (answer.mStatus == 200) {
      break;
    }
    // A refusal promises that the request has not run.
    CHECK(aFixture.RunsOfLast() == 0);
    if (answer.mStatus == 0) {
      REQUIRE(UnreadConnections(aFixture) > before);
      aFixture.Wait(20);
      continue;
    }
    REQUIRE(answer.mStatus == 503);
    CHECK(FindHeader(answer.mHeaders, "Retry-After") != nullptr);
    aFixture.Wait(20);
  }
  return answer;
}

}  // namespace

Test(memory, normal_callers_are_served_beside_slow_ones) {
  RelayFixture fixture;
  fixture.mMemoryBytes = kMemory;
  // Many slots, so that memory is the limit: with few, full upstreams would
  // refuse most slow callers, and none would have to be cut.
  fixture.mSlots = 1000;
  fixture.StartRouter();
  fixture.Begin();
  fixture.mA.SetAnswerBytes(kAnswer);
  fixture.mB.SetAnswerBytes(kAnswer);
  Crowd crowd(fixture);
  crowd.Add(60, "/look/slow", Slow::kReadsNothing);
  crowd.Add(10, "/pay/slow", Slow::kReadsNothing);
  crowd.Add(10, "/look/slow", Slow::kReadsAByte);
  crowd.Add(10, "/look/slow", Slow::kSendsAByte);
  crowd.Step();
  const std::int64_t bound = crowd.Gauge("memory_bound_bytes");
  CHECK(bound > 0 && bound <= static_cast<std::int64_t>(kMemory / 2));
  for (int i = 0; i < 20; i++) {
    crowd.Add(5, "/look/slow", Slow::kReadsNothing);
    for (const char* target : {"/look/good", "/pay/good"}) {
      const Answer answer = CallUntilServed(fixture, target);
      CHECK_FOUND(answer.mStatus == 200 && answer.mEnd == StreamEnd::kComplete,
                  std::string(target) + ": " + std::to_string(answer.mStatus) +
                      " " + answer.mBody.substr(0, 300));
      CHECK(answer.mBody == ScriptedUpstream::BodyOf(fixture.Last(), kAnswer));
      CHECK(fixture.RunsOfLast() == 1);
    }
  }
  // Slow callers end by the route's timeout of 5 s, and full upstreams refuse
  // others: new ones are added until the memory is used up.
  auto more = fixture.mLoop.Every(
      100, [&crowd] { crowd.Add(5, "/look/slow", Slow::kReadsNothing); });
  REQUIRE(fixture.RunUntil([&] { return crowd.Gauge("memory_cut") > 0; }));
  more.reset();
  CHECK(crowd.mMaxHeld > bound / 4);
  CHECK(crowd.mMaxHeld <= bound);
  SECTION("none of the slow callers' requests ran twice") {
    for (const std::string& id : crowd.mIds) {
      CHECK(fixture.mA.Runs(id) + fixture.mB.Runs(id) <= 1);
    }
  }
  SECTION("all memory is released after they disconnect") {
    crowd.mCallers.clear();
    CHECK(fixture.RunUntil([&] {
      return crowd.Gauge("memory_held_bytes") == 0 &&
             crowd.Gauge("memory_committed_bytes") == 0;
    }));
  }
}

Test(memory, the_answer_of_a_slow_caller_is_stored_while_memory_suffices) {
  RelayFixture fixture;
  fixture.mMemoryBytes = kMemory;
  fixture.StartRouter();
  fixture.Begin();
  fixture.mA.SetAnswerBytes(kAnswer);
  fixture.mB.SetAnswerBytes(kAnswer);
  SlowCaller caller(fixture.mRouter->Address(), "/pay/slow", "slow",
                    Slow::kReadsNothing);
  caller.Step();
  const auto step = fixture.mLoop.Every(20, [&caller] { caller.Step(); });
  // The router has read the answer in full, so that the upstream, which would
  // cut a slow reader, is free.
  REQUIRE(fixture.RunUntil([&] {
    fixture.mRouter->RefreshGauges();
    return fixture.mRouter->OwnCounters().Value("memory_unread_bytes") >
               static_cast<std::int64_t>(kAnswer / 2) &&
           fixture.mRouter->OwnCounters().Value("requests_open") == 0;
  }));
  CHECK(fixture.mA.Runs("slow") + fixture.mB.Runs("slow") == 1);
  CHECK(fixture.mRouter->OwnCounters().Value("memory_cut") == 0);
}
