/// Bytes of an upstream that are no answer and come without end. The router
/// must close such a connection and give its caller a clear end, without
/// keeping what it reads.
#include "standins/raw_upstream.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr std::size_t kMemoryBytes = std::size_t{64} * 1024 * 1024;
/// Far less than arrives until the timeout of the route: a loopback connection
/// carries hundreds of megabytes a second.
constexpr std::size_t kMostRead = std::size_t{8} * 1024 * 1024;
/// The timeout of the route is 5 s.
constexpr Millis kWellBeforeTimeout = 2500;

/// A router whose only upstream never ends its answers.
struct EndlessFixture {
  EndlessFixture() {
    mFixture.mMemoryBytes = kMemoryBytes;
    mFixture.StartRouter();
    mFixture.BeginRaw(mUpstream);
  }

  /// The answer that a caller gets; the upstream's connections are closed then.
  Answer Call(const std::string& aTarget, std::string aBegin,
              std::string_view aRepeated) {
    mUpstream.AnswerWithoutEnd(std::move(aBegin), aRepeated);
    const Millis begun = SteadyNow();
    Answer answer = mFixture.Call(aTarget);
    mTook = SteadyNow() - begun;
    CHECK(mFixture.RunUntil([this] { return mUpstream.Open() == 0; }));
    return answer;
  }

  /// Checks that all calls with such an answer fail, soon and without reading
  /// much of it.
  void CheckRejected(const std::string& aBegin, const std::string& aRepeated) {
    for (const char* target : {"/look/x", "/pay/x", "/stream/x"}) {
      const Answer answer = Call(target, aBegin, aRepeated);
      CHECK_FOUND(answer.mStatus == 502, std::to_string(answer.mStatus));
      CHECK_FOUND(mTook < kWellBeforeTimeout, std::to_string(mTook) + " ms");
      CHECK_FOUND(mUpstream.WrittenWithoutEnd() < kMostRead,
                  std::to_string(mUpstream.WrittenWithoutEnd()) + " bytes");
    }
  }

  RelayFixture mFixture;
  RawUpstream mUpstream{mFixture.mLoop, "raw"};
  Millis mTook = 0;
};

}  // namespace

Test(endless_answer, in_a_head_is_closed_soon) {
  EndlessFixture fixture;
  SECTION("bytes of no protocol") {
    fixture.CheckRejected("garbage", "garbage");
  }
  SECTION("a header that does not end") {
    fixture.CheckRejected("HTTP/1.1 200 OK\r\nX-Signature: ", "x");
  }
  SECTION("headers that do not end") {
    fixture.CheckRejected("HTTP/1.1 200 OK\r\n", "X-Signature: raw\r\n");
  }
  SECTION("empty lines before a status") {
    fixture.CheckRejected("\r\n", "\r\n");
  }
  SECTION("heads that announce a later one") {
    fixture.CheckRejected("HTTP/1.1 100 Continue\r\n\r\n",
                          "HTTP/1.1 100 Continue\r\n\r\n");
  }
}

Test(endless_answer, in_a_chunk_size_is_closed_soon) {
  EndlessFixture fixture;
  fixture.CheckRejected(
      "HTTP/1.1 200 OK\r\nX-Signature: raw\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n1;",
      "x");
}

Test(endless_answer, in_an_event_is_closed_soon) {
  EndlessFixture fixture;
  SECTION("before the first event") {
    const Answer answer =
        fixture.Call("/stream/x", RawUpstream::StreamHead(), "data: x\n");
    CHECK_FOUND(answer.mStatus == 502, std::to_string(answer.mStatus));
    CHECK_FOUND(fixture.mTook < kWellBeforeTimeout,
                std::to_string(fixture.mTook) + " ms");
    CHECK(fixture.mUpstream.WrittenWithoutEnd() < kMostRead);
  }
  SECTION("after an event the stream does not end as complete") {
    const Answer answer = fixture.Call(
        "/stream/x", RawUpstream::StreamHead() + "id: 1\ndata: x\n\n",
        "data: x\n");
    CHECK(answer.mEnd != StreamEnd::kComplete);
    CHECK(answer.mBody == "id: 1\ndata: x\n\n");
    CHECK(fixture.mUpstream.WrittenWithoutEnd() < 2 * kMostRead);
  }
}

// A body may be long: it is handed on as fast as its caller reads, until the
// route's time is over. It must not look complete then.
Test(endless_answer, in_a_body_ends_with_the_time_of_its_route) {
  EndlessFixture fixture;
  const Answer answer = fixture.Call("/look/x",
                                     "HTTP/1.1 200 OK\r\nX-Signature: raw\r\n"
                                     "Content-Type: text/plain\r\n\r\n",
                                     "xxxxxxxx");
  CHECK(answer.mEnd != StreamEnd::kComplete);
  CHECK_FOUND(fixture.mTook < 2 * kWellBeforeTimeout + 1000,
              std::to_string(fixture.mTook) + " ms");
}
