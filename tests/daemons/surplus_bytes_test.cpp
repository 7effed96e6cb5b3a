/// Bytes that an upstream sends beyond the end of its answer. They belong to no
/// request: a caller that keeps its connection would take them for the next
/// answer.
#include "spindleweir/drivers/http_message.h"
#include "standins/raw_upstream.h"
#include "tests/daemons/relay_fixture.h"
#include "tests/drivers/raw_socket_caller.h"

using namespace spindleweir;

namespace {

constexpr const char* kSurplus = "not an answer to anything\n";
constexpr const char* kNextAnswer =
    "HTTP/1.1 200 OK\r\nX-Signature: raw\r\nContent-Length: 4\r\n\r\nnext";

/// The head of an answer that states the length of the surplus.
std::string HeadWithLength(const std::string& aStatus) {
  return "HTTP/1.1 " + aStatus + "\r\nX-Signature: raw\r\nContent-Length: " +
         std::to_string(std::string_view(kSurplus).size()) + "\r\n\r\n";
}

/// A router with one upstream, and a caller that keeps its connection.
struct SurplusFixture {
  SurplusFixture() { mFixture.BeginRaw(mUpstream); }

  /// Sends a request that gets this answer of the upstream and a second one on
  /// the same connection. Returns the head of the first answer; checks that it
  /// has this body and that the second answer begins right after it.
  std::string Call(const std::string& aMethod, const std::string& aPath,
                   const std::string& aAnswer, const std::string& aBody = "") {
    mUpstream.SetAnswers({aAnswer, kNextAnswer});
    RawSocketCaller caller(mFixture.mRouter->Address());
    caller.Send(mFixture.mLoop,
                Request(aMethod, aPath) + Request("GET", "/look/next"));
    REQUIRE(mFixture.RunUntil([&caller] {
      caller.Read();
      return caller.mEnded || caller.mReceived.ends_with("next");
    }));
    const std::size_t end = caller.mReceived.find("\r\n\r\n") + 4;
    CHECK_FOUND(
        caller.mReceived.substr(end).starts_with(aBody + "HTTP/1.1 200"),
        caller.mReceived);
    return caller.mReceived.substr(0, end);
  }

  std::string Request(const std::string& aMethod, const std::string& aPath) {
    return aMethod + " " + aPath + " HTTP/1.1\r\nHost: shop\r\nX-Key: key\r\n" +
           "X-Request: r" + std::to_string(++mRequests) + "\r\n\r\n";
  }

  RelayFixture mFixture;
  RawUpstream mUpstream{mFixture.mLoop, "raw"};
  int mRequests = 0;
};

}  // namespace

// Guards against bytes after the head of an answer without a body, which were
// passed on as its body and reached the caller while no request waited.
Test(surplus_bytes, after_an_answer_never_reach_the_caller) {
  SurplusFixture fixture;
  SECTION("after the head of a 204") {
    const std::string head = fixture.Call(
        "GET", "/look/x", HeadWithLength("204 No Content") + kSurplus);
    CHECK_FOUND(head.starts_with("HTTP/1.1 204"), head);
    CHECK_FOUND(head.find("Content-Length") == std::string::npos, head);
  }
  SECTION("after the head of a 304") {
    const std::string head = fixture.Call(
        "GET", "/look/x", HeadWithLength("304 Not Modified") + kSurplus);
    CHECK_FOUND(head.starts_with("HTTP/1.1 304"), head);
  }
  SECTION("a 304 that states the length of its page is whole") {
    const std::string head =
        fixture.Call("GET", "/look/x", HeadWithLength("304 Not Modified"));
    CHECK_FOUND(head.starts_with("HTTP/1.1 304"), head);
  }
  SECTION("after the head of an answer to HEAD") {
    const std::string head =
        fixture.Call("HEAD", "/look/x", HeadWithLength("200 OK") + kSurplus);
    CHECK_FOUND(head.starts_with("HTTP/1.1 200"), head);
  }
  SECTION("a stream's answer to HEAD has no end of its own") {
    const std::string head =
        fixture.Call("HEAD", "/stream/x", RawUpstream::StreamHead());
    CHECK_FOUND(head.starts_with("HTTP/1.1 200"), head);
  }
  SECTION("beyond the stated length") {
    const std::string head =
        fixture.Call("GET", "/look/x",
                     HeadWithLength("200 OK") + kSurplus + kSurplus, kSurplus);
    CHECK_FOUND(head.starts_with("HTTP/1.1 200"), head);
  }
  SECTION("beyond the last chunk") {
    const std::string head = fixture.Call(
        "GET", "/look/x",
        "HTTP/1.1 200 OK\r\nX-Signature: raw\r\nTransfer-Encoding: "
        "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" +
            HeadWithLength("200 OK") + kSurplus,
        "ok");
    CHECK_FOUND(head.starts_with("HTTP/1.1 200"), head);
  }
}
