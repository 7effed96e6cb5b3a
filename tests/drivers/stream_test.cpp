/// Tests of the server and the client for forwarded requests.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>

#include "spindleweir/drivers/stream_client.h"
#include "spindleweir/drivers/stream_server.h"
#include "standins/answer_forms.h"
#include "standins/raw_upstream.h"
#include "tests/drivers/raw_socket_caller.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kTimeout = 300;
/// Of the whole process.
constexpr std::chrono::milliseconds kStall(700);

/// A server with a handler that a test sets.
struct Server {
  explicit Server(std::shared_ptr<MemoryBudget> aMemory = nullptr)
      : mMemory(std::move(aMemory)),
        mServer(mLoop,
                {.mListen = {"127.0.0.1", 0},
                 .mLimits = {.mMaximumHeaderBytes = 2000,
                             .mMaximumBodyBytes = 1000},
                 .mHandle =
                     [this](const std::shared_ptr<StreamExchange>& aExchange) {
                       mHandled++;
                       mExchange = aExchange;
                       aExchange->OnClosed([this] { mClosed = true; });
                       if (mHandle) {
                         mHandle(*aExchange);
                       }
                     },
                 .mRefuse =
                     [](StreamExchange& aExchange, ResultCode aCode) {
                       aExchange.Reply(InfoOf(aCode).mHttpStatus, {}, "no");
                     },
                 .mMemory = mMemory}) {}

  bool RunUntil(const std::function<bool()>& aCondition) {
    return RunLoopUntil(mLoop, aCondition);
  }

  /// Sends a call and waits for its end.
  StreamEnd Call(std::string aBody = "") {
    bool ended = false;
    StreamEnd end = StreamEnd::kNotSent;
    mStatus = 0;
    mBody.clear();
    StreamCallOptions options;
    options.mServer = mServer.Address();
    options.mMethod = "POST";
    options.mHeaders = {{"Host", "h"}};
    options.mBody = std::move(aBody);
    options.mOnHead = [this](const AnswerHead& aHead) {
      mStatus = aHead.mStatus;
    };
    options.mOnData = [this](std::string_view aBytes) { mBody += aBytes; };
    options.mOnEnd = [&](StreamEnd aEnd) {
      ended = true;
      end = aEnd;
    };
    const auto call = StartStreamCall(mLoop, std::move(options));
    REQUIRE(RunUntil([&] { return ended; }));
    return end;
  }

  /// Sends bytes and returns all received bytes until the server closes.
  std::string Raw(std::string_view aBytes) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
        htons(static_cast<std::uint16_t>(mServer.Address().mPort));
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    (void)connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    std::string received;
    bool sent = false;
    bool closed = false;
    RunUntil([&] {
      if (!sent) {
        sent = send(fd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) > 0;
      }
      char buf[4096];
      const ssize_t n = recv(fd, buf, sizeof(buf), 0);
      if (n > 0) {
        received.append(buf, static_cast<std::size_t>(n));
      }
      closed = n == 0;
      return closed;
    });
    CHECK(closed);
    close(fd);
    return received;
  }

  EventLoop mLoop;
  std::function<void(StreamExchange&)> mHandle;
  std::shared_ptr<StreamExchange> mExchange;
  int mHandled = 0;
  bool mClosed = false;
  int mStatus = 0;
  std::string mBody;
  std::shared_ptr<MemoryBudget> mMemory;
  StreamServer mServer;
};

/// A budget of aBound bytes; each request may use at least 16 KB.
std::shared_ptr<MemoryBudget> MakeBudget(std::size_t aBound) {
  return std::make_shared<MemoryBudget>(
      MemoryBudgetOptions{.mMaxBytes = aBound, .mSocketBuffer = 8 * 1024});
}

}  // namespace

Test(stream, answers_are_complete_or_reported_as_broken) {
  Server server;
  SECTION("a complete answer") {
    server.mHandle = [](StreamExchange& aExchange) {
      aExchange.Reply(200, {}, aExchange.Body() + "!");
    };
    CHECK(server.Call("hello") == StreamEnd::kComplete);
    CHECK(server.mStatus == 200 && server.mBody == "hello!");
  }
  SECTION("a chunked stream") {
    server.mHandle = [](StreamExchange& aExchange) {
      aExchange.Start(200, {}, std::nullopt);
      aExchange.Write("a");
      aExchange.Write("b");
      aExchange.End();
    };
    CHECK(server.Call() == StreamEnd::kComplete);
    CHECK(server.mBody == "ab");
  }
  SECTION("an aborted stream") {
    server.mHandle = [](StreamExchange& aExchange) {
      aExchange.Start(200, {}, std::nullopt);
      aExchange.Write("a");
    };
    const auto abort =
        server.mLoop.After(50, [&] { server.mExchange->Abort(); });
    CHECK(server.Call() == StreamEnd::kLost);
  }
  SECTION("nobody listens: not sent") {
    StreamEnd end = StreamEnd::kComplete;
    StreamCallOptions options;
    options.mServer = {"127.0.0.1", 1};
    options.mOnEnd = [&](StreamEnd aEnd) { end = aEnd; };
    const auto call = StartStreamCall(server.mLoop, std::move(options));
    CHECK(server.RunUntil([&] { return end == StreamEnd::kNotSent; }));
  }
  SECTION("mMaySend returns false: not sent") {
    const int before = server.mHandled;
    StreamEnd end = StreamEnd::kComplete;
    StreamCallOptions options;
    options.mServer = server.mServer.Address();
    options.mMaySend = [] { return false; };
    options.mOnEnd = [&](StreamEnd aEnd) { end = aEnd; };
    const auto call = StartStreamCall(server.mLoop, std::move(options));
    CHECK(server.RunUntil([&] { return end == StreamEnd::kNotSent; }));
    CHECK(server.mHandled == before);
  }
}

Test(stream, a_disconnect_is_detected_at_once) {
  Server server;
  StreamCallOptions options;
  options.mServer = server.mServer.Address();
  options.mHeaders = {{"Host", "h"}};
  auto call = StartStreamCall(server.mLoop, std::move(options));
  REQUIRE(server.RunUntil([&] { return server.mExchange != nullptr; }));
  call.reset();
  CHECK(server.RunUntil([&] { return server.mClosed; }));
  CHECK(server.mExchange->Closed());
}

Test(stream, a_connection_that_closes_gets_its_answer_first) {
  // The write callback of an earlier write shut the connection down while the
  // answer was still in the buffer.
  Server server;
  server.mHandle = [](StreamExchange& aExchange) {
    aExchange.Reply(200, {}, "");
  };
  const std::string answer =
      server.Raw("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 200 OK\r\n"));
  CHECK(answer.find("Connection: close") != std::string::npos);
}

Test(stream, a_caller_that_reads_slowly_gets_its_whole_answer) {
  // An answer with "Connection: close" was truncated a second after its end.
  constexpr std::size_t kBytes = 4 * 1000 * 1000;
  Server server(MakeBudget(8 * kBytes));
  server.mHandle = [](StreamExchange& aExchange) {
    aExchange.Reply(200, {}, std::string(kBytes, 'x'));
  };
  RawSocketCaller caller(server.mServer.Address());
  caller.Send(server.mLoop,
              "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  bool late = false;
  const auto pause = server.mLoop.After(1500, [&late] { late = true; });
  REQUIRE(server.RunUntil([&] { return late; }));
  CHECK(server.mMemory->Held(BufferKind::kUnread) > kBytes / 2);
  CHECK(server.RunUntil([&] {
    caller.Read();
    return caller.mEnded;
  }));
  CHECK(caller.mReceived.ends_with(std::string(kBytes, 'x')));
  CHECK(server.RunUntil([&] { return server.mMemory->Held() == 0; }));
}

// Around a planned stop some requests were closed without an answer, and
// answers to slow callers were truncated. A connection counted as idle if no
// byte of a request was parsed, even if unparsed or unsent bytes were pending;
// and a closed connection was still read from in the same iteration of the
// loop.
Test(stream, closing_idle_connections_loses_no_request) {
  Server server;
  server.mHandle = [](StreamExchange& aExchange) {
    aExchange.Reply(200, {}, "yes");
  };
  RawSocketCaller caller(server.mServer.Address());
  const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  caller.Send(server.mLoop, request);
  REQUIRE(server.RunUntil([&] {
    caller.Read();
    return caller.mReceived.ends_with("yes");
  }));
  SECTION("a request that has arrived and was not read yet is answered") {
    caller.mReceived.clear();
    caller.SendNow(request);
    server.mServer.CloseIdle();
    CHECK(server.RunUntil([&] {
      caller.Read();
      return caller.mEnded || caller.mReceived.ends_with("yes");
    }));
    CHECK(caller.mReceived.ends_with("yes"));
  }
  SECTION("a request that arrives after the close finds an end and no reset") {
    const int before = server.mHandled;
    server.mServer.CloseIdle();
    caller.SendNow(request);
    CHECK(server.RunUntil([&] {
      caller.Read();
      return caller.mEnded;
    }));
    CHECK(server.mHandled == before);
    CHECK(!caller.mWasReset);
  }
}

// A caller that connected 1 ms before idle connections were closed found its
// connection closed, while the router still accepted new ones.
Test(stream, closing_idle_connections_spares_new_ones) {
  Server server;
  server.mHandle = [](StreamExchange& aExchange) {
    aExchange.Reply(200, {}, "yes");
  };
  RawSocketCaller caller(server.mServer.Address());
  RawSocketCaller silent(server.mServer.Address());
  REQUIRE(server.RunUntil([&] { return server.mServer.Connections() == 2; }));
  server.mServer.CloseIdle();
  caller.SendNow("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(server.RunUntil([&] {
    caller.Read();
    return caller.mEnded || caller.mReceived.ends_with("yes");
  }));
  CHECK(caller.mReceived.ends_with("yes"));
  SECTION("a connection that stays silent is closed") {
    CHECK(server.RunUntil([&] {
      server.mServer.CloseIdle();
      silent.Read();
      return silent.mEnded;
    }));
  }
}

Test(stream, closing_idle_connections_waits_for_slow_callers) {
  constexpr std::size_t kBytes = 4 * 1000 * 1000;
  Server server(MakeBudget(8 * kBytes));
  server.mHandle = [](StreamExchange& aExchange) {
    aExchange.Reply(200, {}, std::string(kBytes, 'x'));
  };
  for (const char* keep : {"", "Connection: close\r\n"}) {
    RawSocketCaller caller(server.mServer.Address());
    const int before = server.mHandled;
    caller.Send(server.mLoop,
                "GET /x HTTP/1.1\r\nHost: h\r\n" + std::string(keep) + "\r\n");
    REQUIRE(server.RunUntil([&] { return server.mHandled > before; }));
    server.mServer.CloseIdle();
    // Compared only when enough bytes have arrived: there are a thousand reads.
    const std::string whole(kBytes, 'x');
    CHECK(server.RunUntil([&] {
      caller.Read();
      return caller.mEnded || (caller.mReceived.size() > kBytes &&
                               caller.mReceived.ends_with(whole));
    }));
    CHECK(caller.mReceived.ends_with(whole));
  }
}

// A truncated stream was reset, and the caller lost unread bytes, though chunks
// or a length already show that the answer is incomplete.
Test(stream, bytes_before_a_truncated_end_are_read) {
  constexpr std::size_t kBytes = 1000 * 1000;
  for (const char* version : {"1.1", "1.0"}) {
    Server server(MakeBudget(8 * kBytes));
    server.mHandle = [](StreamExchange& aExchange) {
      aExchange.Start(200, {}, std::nullopt);
      aExchange.Write(std::string(kBytes, 'x'));
      aExchange.EndTruncated();
    };
    RawSocketCaller caller(server.mServer.Address());
    caller.Send(server.mLoop,
                std::string("GET /x HTTP/") + version + "\r\nHost: h\r\n\r\n");
    REQUIRE(server.RunUntil([&] {
      caller.Read();
      return caller.mEnded;
    }));
    const auto read = static_cast<std::size_t>(
        std::count(caller.mReceived.begin(), caller.mReceived.end(), 'x'));
    if (std::string_view(version) == "1.1") {
      CHECK(read == kBytes);
      CHECK(!caller.mWasReset);
      CHECK(!caller.mReceived.ends_with("0\r\n\r\n"));
      continue;
    }
    SECTION("without chunks only a reset shows that the answer is incomplete") {
      CHECK(caller.mWasReset);
    }
  }
}

// Closing the port reset connections that were not accepted yet.
Test(stream, a_caller_connected_before_the_port_closes_is_answered) {
  Server server;
  server.mHandle = [](StreamExchange& aExchange) {
    aExchange.Reply(200, {}, "yes");
  };
  RawSocketCaller caller(server.mServer.Address());
  caller.SendNow("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  server.mServer.StopListening();
  CHECK(server.RunUntil([&] {
    caller.Read();
    return caller.mWasReset || caller.mReceived.ends_with("yes");
  }));
  CHECK(caller.mReceived.ends_with("yes"));
  SECTION("later connections are refused") {
    StreamEnd end = StreamEnd::kComplete;
    StreamCallOptions options;
    options.mServer = server.mServer.Address();
    options.mOnEnd = [&](StreamEnd aEnd) { end = aEnd; };
    const auto call = StartStreamCall(server.mLoop, std::move(options));
    CHECK(server.RunUntil([&] { return end == StreamEnd::kNotSent; }));
  }
}

Test(stream, a_full_process_refuses_at_once) {
  Server server(MakeBudget(60 * 1024));
  server.mHandle = [](StreamExchange& aExchange) {
    aExchange.Reply(200, {}, "yes");
  };
  CHECK(server.Call() == StreamEnd::kComplete && server.mStatus == 200);
  REQUIRE(server.RunUntil([&] { return server.mMemory->Committed() == 0; }));
  // Two requests without answers use the whole budget.
  server.mHandle = nullptr;
  RawSocketCaller first(server.mServer.Address());
  RawSocketCaller second(server.mServer.Address());
  first.Send(server.mLoop, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  second.Send(server.mLoop, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(server.RunUntil([&] { return server.mHandled == 3; }));
  CHECK(server.Call() == StreamEnd::kComplete && server.mStatus == 503);
  CHECK(server.mHandled == 3);
  SECTION("a body larger than the budget is refused by its length") {
    Server other(MakeBudget(400 * 1024));
    other.mServer.SetLimits({});
    const std::string answer = other.Raw(
        "POST / HTTP/1.1\r\nHost: h\r\n"
        "Content-Length: 900000\r\n\r\nabc");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(other.mHandled == 0);
  }
}

Test(stream, a_caller_that_reads_nothing_is_evicted_when_memory_is_short) {
  constexpr std::size_t kBytes = 300 * 1000;
  Server server(MakeBudget(4 * kBytes));
  server.mHandle = [](StreamExchange& aExchange) {
    aExchange.Memory()->SetEvictionClass(EvictionClass::kRetryable);
    aExchange.Reply(200, {}, std::string(kBytes, 'x'));
  };
  std::vector<std::unique_ptr<RawSocketCaller>> callers;
  for (int i = 0; i < 4; i++) {
    callers.push_back(
        std::make_unique<RawSocketCaller>(server.mServer.Address()));
    callers.back()->Send(server.mLoop, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(server.RunUntil([&] { return server.mHandled == i + 1; }));
  }
  // The last caller goes on reading; one of the others is evicted.
  CHECK(server.RunUntil([&] {
    callers.back()->Read();
    return server.mServer.Connections() < 4;
  }));
  CHECK(server.RunUntil([&] {
    callers.back()->Read();
    return callers.back()->mReceived.ends_with(std::string(kBytes, 'x'));
  }));
}

Test(stream, invalid_requests_are_refused_with_a_status) {
  Server server;
  const auto statusOf = [&server](std::string_view aBytes) {
    return server.Raw(aBytes).substr(0, 12);
  };
  SECTION("two lengths") {
    CHECK(statusOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                   "Content-Length: 2\r\n\r\nab") == "HTTP/1.1 400");
  }
  SECTION("no host, or two keys") {
    CHECK(statusOf("GET / HTTP/1.1\r\nConnection: close\r\n\r\n") ==
          "HTTP/1.1 400");
    CHECK(statusOf("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                   "Authorization: Bearer a\r\nAuthorization: Bearer b\r\n"
                   "\r\n") == "HTTP/1.1 400");
  }
  SECTION("another version, or a blank before a colon") {
    CHECK(statusOf("GET / HTTP/2.0\r\nHost: h\r\n\r\n") == "HTTP/1.1 505");
    CHECK(statusOf("GET / HTTP/1.1\r\nHost: h\r\nX : 1\r\n\r\n") ==
          "HTTP/1.1 400");
  }
  SECTION("a target in absolute form for no host") {
    CHECK(statusOf("GET http:///x HTTP/1.1\r\nHost: h\r\n"
                   "Connection: close\r\n\r\n") == "HTTP/1.1 400");
  }
  SECTION("too large a head or a body") {
    CHECK(statusOf("GET / HTTP/1.1\r\nX: " + std::string(3000, 'x')) ==
          "HTTP/1.1 431");
    CHECK(
        statusOf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" +
                 std::string(2000, 'x')) == "HTTP/1.1 413");
  }
  CHECK(server.mHandled == 0);
}

Test(stream, a_target_in_absolute_form_is_served) {
  Server server;
  server.mHandle = [](StreamExchange& aExchange) {
    aExchange.Reply(200, {},
                    aExchange.Head().mTarget + " " +
                        *FindHeader(aExchange.Head().mHeaders, "Host"));
  };
  CHECK(server
            .Raw("GET http://shop/x?y HTTP/1.1\r\nHost: other\r\n"
                 "Connection: close\r\n\r\n")
            .ends_with("\r\n\r\n/x?y shop"));
}

Test(stream, requests_on_one_connection_are_answered_in_turn) {
  Server server;
  server.mHandle = [](StreamExchange& aExchange) {
    aExchange.Reply(200, {}, aExchange.Head().mTarget);
  };
  const std::string answers = server.Raw(
      "GET /one HTTP/1.1\r\nHost: h\r\n\r\n"
      "GET /two HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::size_t one = answers.find("/one");
  const std::size_t two = answers.find("/two");
  CHECK(one != std::string::npos && two != std::string::npos && one < two);
  CHECK(server.mHandled == 2);
}

// Guards against bytes on a kept connection that its caller takes for the next
// answer: a body, or the last chunk, after a head that ends its answer.
Test(stream, nothing_follows_a_head_that_ends_its_answer) {
  Server server;
  std::string method = "GET";
  int status = 200;
  std::optional<std::size_t> length;
  server.mHandle = [&](StreamExchange& aExchange) {
    if (aExchange.Head().mTarget == "/next") {
      aExchange.Reply(200, {}, "next");
      return;
    }
    aExchange.Start(status, {}, length);
    aExchange.Write("extra");
    aExchange.End();
  };
  const auto checkFollowed = [&] {
    for (const std::optional<std::size_t> stated :
         {std::optional<std::size_t>(), std::optional<std::size_t>(5)}) {
      length = stated;
      const std::string answers = server.Raw(
          method +
          " /x HTTP/1.1\r\nHost: h\r\n\r\n"
          "GET /next HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
      const std::size_t end = answers.find("\r\n\r\n") + 4;
      CHECK_FOUND(answers.substr(end).starts_with("HTTP/1.1 200"), answers);
    }
  };
  SECTION("a 204") {
    status = 204;
    checkFollowed();
  }
  SECTION("a 304") {
    status = 304;
    checkFollowed();
  }
  SECTION("an answer to HEAD") {
    method = "HEAD";
    status = 200;
    checkFollowed();
  }
}

// Guards against calls that fail although the server accepted them: a client
// that was stalled for longer than its timeout dropped a connection that had
// been made meanwhile, and an answer that it had not read yet.
Test(stream, a_stalled_client_does_not_give_up_calls) {
  Server server;
  int ended = 0;
  int complete = 0;
  const auto start = [&] {
    StreamCallOptions options;
    options.mServer = server.mServer.Address();
    options.mHeaders = {{"Host", "h"}};
    options.mConnectTimeout = kTimeout;
    options.mTimeout = kTimeout;
    options.mOnEnd = [&](StreamEnd aEnd) {
      ended++;
      complete += aEnd == StreamEnd::kComplete ? 1 : 0;
    };
    return StartStreamCall(server.mLoop, std::move(options));
  };
  SECTION("while it connects") {
    server.mHandle = [](StreamExchange& aExchange) {
      aExchange.Reply(200, {}, "served");
    };
    const auto call = start();
    std::this_thread::sleep_for(kStall);
    REQUIRE(server.RunUntil([&] { return ended == 1; }));
    CHECK(complete == 1);
  }
  SECTION("while the answer waits in its socket") {
    server.mHandle = [](StreamExchange& aExchange) {
      aExchange.Reply(200, {}, "served");
      std::this_thread::sleep_for(kStall);
    };
    const auto call = start();
    REQUIRE(server.RunUntil([&] { return ended == 2; }));
    CHECK(complete == 2);
  }
}

// Guards against broken answers that are believed where only their status
// counts, as of orders, or only their body, as of reports.
Test(stream, a_broken_answer_gives_out_neither_head_nor_body) {
  EventLoop loop;
  RawUpstream upstream(loop, "raw");
  for (const AnswerForm& form : BrokenAnswers()) {
    upstream.SetAnswers({form.mBytes});
    bool gaveOut = false;
    std::optional<StreamEnd> end;
    const auto call = StartStreamCall(
        loop, {.mServer = ParseEndpoint(upstream.Address(), "upstream"),
               .mOnHead = [&gaveOut](const AnswerHead&) { gaveOut = true; },
               .mOnData = [&gaveOut](std::string_view) { gaveOut = true; },
               .mOnEnd = [&end](StreamEnd aEnd) { end = aEnd; }});
    REQUIRE(RunLoopUntil(loop, [&end] { return end.has_value(); }));
    CHECK_FOUND(end == StreamEnd::kMalformed, form.mWhat);
    CHECK_FOUND(!gaveOut, form.mWhat);
  }
}
