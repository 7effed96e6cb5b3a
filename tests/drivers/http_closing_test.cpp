/// A caller that sent a request on a kept-alive connection 0.6 ms before its
/// router ended got no answer: the router had closed its port, but ended with
/// kept-alive connections open.
#include "spindleweir/drivers/http_server.h"
#include "tests/drivers/raw_socket_caller.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr const char* kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server that answers "yes" or leaves the answer to the test.
struct Server {
  Server()
      : mServer(mLoop,
                {.mListen = {"127.0.0.1", 0},
                 .mHandle = [this](const std::shared_ptr<HttpExchange>& aItem) {
                   mHandled++;
                   mExchange = aItem;
                   if (mAnswers) {
                     aItem->Reply(200, "text/plain", "yes");
                   }
                 }}) {}

  /// Waits for an answer, or the end of the connection.
  void Await(RawSocketCaller& aCaller) {
    CHECK(RunLoopUntil(mLoop, [&] {
      aCaller.Read();
      return aCaller.mEnded || aCaller.mReceived.ends_with("yes");
    }));
  }

  /// Closes idle connections repeatedly until none is left.
  bool CloseAll() {
    return RunLoopUntil(mLoop, [this] {
      mServer.CloseIdle();
      return mServer.Connections() == 0;
    });
  }

  EventLoop mLoop;
  bool mAnswers = true;
  int mHandled = 0;
  std::shared_ptr<HttpExchange> mExchange;
  HttpServer mServer;
};

}  // namespace

Test(http_closing, kept_alive_connections_are_closed_gracefully) {
  Server server;
  RawSocketCaller caller(server.mServer.Address());
  caller.Send(server.mLoop, kRequest);
  server.Await(caller);
  REQUIRE(caller.mReceived.ends_with("yes"));
  REQUIRE(server.mServer.Connections() == 1);
  caller.mReceived.clear();
  SECTION("a request that has arrived and was not read yet is answered") {
    caller.SendNow(kRequest);
    server.mServer.CloseIdle();
    server.Await(caller);
    CHECK(caller.mReceived.ends_with("yes"));
    caller.mReceived.clear();
  }
  SECTION("a request that was partly read is answered") {
    caller.SendNow("GET /x HTTP/1.1\r\nHost:");
    // The part is read in these iterations of the loop.
    int turns = 0;
    REQUIRE(RunLoopUntil(server.mLoop, [&] { return ++turns > 3; }));
    server.mServer.CloseIdle();
    caller.SendNow(" h\r\n\r\n");
    server.Await(caller);
    CHECK(caller.mReceived.ends_with("yes"));
    caller.mReceived.clear();
  }
  SECTION("a request in progress is answered") {
    server.mAnswers = false;
    server.mExchange.reset();
    caller.SendNow(kRequest);
    REQUIRE(RunLoopUntil(server.mLoop,
                         [&] { return server.mExchange != nullptr; }));
    server.mServer.CloseIdle();
    server.mExchange->Reply(200, "text/plain", "yes");
    server.mServer.CloseIdle();
    server.Await(caller);
    CHECK(caller.mReceived.ends_with("yes"));
    caller.mReceived.clear();
    server.mAnswers = true;
  }
  SECTION(
      "a request that arrives after the close finds an end, no reset, and does "
      "not run") {
    const int before = server.mHandled;
    server.mServer.CloseIdle();
    caller.SendNow(kRequest);
    server.Await(caller);
    CHECK(caller.mEnded && !caller.mWasReset);
    CHECK(server.CloseAll());
    CHECK(server.mHandled == before);
  }
}

Test(http_closing, a_caller_that_does_not_close_its_side_is_closed) {
  Server server;
  RawSocketCaller caller(server.mServer.Address());
  caller.Send(server.mLoop, kRequest);
  server.Await(caller);
  server.mServer.CloseIdle();
  CHECK(server.mServer.Connections() == 1);
  CHECK(server.CloseAll());
}

Test(http_closing, pending_connections_are_accepted_before_the_port_closes) {
  Server server;
  RawSocketCaller caller(server.mServer.Address());
  CHECK(!server.mServer.StopListening());
  caller.Send(server.mLoop, kRequest);
  server.Await(caller);
  CHECK(caller.mReceived.ends_with("yes"));
  SECTION("then the port closes, and the connection after its next answer") {
    CHECK(server.mServer.StopListening());
    caller.mReceived.clear();
    caller.SendNow(kRequest);
    CHECK(RunLoopUntil(server.mLoop, [&] {
      caller.Read();
      return caller.mEnded;
    }));
    CHECK(caller.mReceived.find("Connection: close") != std::string::npos);
    CHECK(caller.mReceived.ends_with("yes"));
  }
}
