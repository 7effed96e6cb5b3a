#include <arpa/inet.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <optional>

#include "spindleweir/drivers/http_client.h"
#include "spindleweir/drivers/http_server.h"
#include "spindleweir/drivers/stream_server.h"
#include "standins/answer_forms.h"
#include "standins/raw_upstream.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

constexpr Millis kCallTimeout = 10000;

/// Memory blocks that libevent has allocated since CountBlocks().
int sBlocks = 0;

/// Must be called before any other use of libevent.
void CountBlocks() {
  event_set_mem_functions(
      [](std::size_t aSize) {
        sBlocks++;
        return std::malloc(aSize);
      },
      [](void* aBlock, std::size_t aSize) {
        sBlocks += aBlock == nullptr ? 1 : 0;
        return std::realloc(aBlock, aSize);
      },
      [](void* aBlock) {
        sBlocks -= aBlock == nullptr ? 0 : 1;
        std::free(aBlock);
      });
}

/// A server and a client in one loop.
struct Pair {
  Pair()
      : mClient(mLoop),
        mServer(mLoop,
                {.mListen = {"127.0.0.1", 0},
                 .mMaximumBodyBytes = 1000,
                 .mHandle = [this](const std::shared_ptr<HttpExchange>& aItem) {
                   mExchange = aItem;
                   aItem->OnClosed([this] { mClosed = true; });
                   if (mHandle) {
                     mHandle();
                   }
                 }}) {}

  bool RunUntil(const std::function<bool()>& aCondition) {
    return RunLoopUntil(mLoop, aCondition);
  }

  HttpCallOptions Call(std::string aBody = "") {
    return {
        .mServer = mServer.Address(),
        .mMethod = "POST",
        .mBody = std::move(aBody),
        .mTimeout = kCallTimeout,
        .mOnDone = [this](const HttpResult& aResult) { mResult = aResult; }};
  }

  EventLoop mLoop;
  HttpClient mClient;
  HttpServer mServer;
  std::function<void()> mHandle;
  std::shared_ptr<HttpExchange> mExchange;
  std::optional<HttpResult> mResult;
  bool mClosed = false;
};

int ConnectTo(const Endpoint& aServer) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aServer.mPort));
  inet_pton(AF_INET, aServer.mHost.c_str(), &address.sin_addr);
  cr_assert(
      connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  return fd;
}

void SendText(int aFd, const std::string& aText) {
  cr_assert(send(aFd, aText.data(), aText.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(aText.size()));
}

}  // namespace

Test(http, results_report_whether_a_byte_was_sent) {
  Pair pair;
  SECTION("nobody listens") {
    HttpCallOptions options = pair.Call("x");
    {
      // A port that is free again.
      const HttpServer other(pair.mLoop, {.mListen = {"127.0.0.1", 0}});
      options.mServer = other.Address();
    }
    const auto call = pair.mClient.Start(options);
    REQUIRE(pair.RunUntil([&] { return pair.mResult.has_value(); }));
    CHECK(!pair.mResult->mComplete && !pair.mResult->mSent);
  }
  SECTION("the server took the request and never answered") {
    pair.mResult.reset();
    HttpCallOptions options = pair.Call("x");
    options.mTimeout = 100;
    const auto call = pair.mClient.Start(options);
    REQUIRE(pair.RunUntil([&] { return pair.mResult.has_value(); }));
    CHECK(!pair.mResult->mComplete && pair.mResult->mSent);
  }
  SECTION("an answer") {
    pair.mResult.reset();
    pair.mHandle = [&] { pair.mExchange->Reply(201, "text/plain", "yes"); };
    pair.mClient.StartDetached(pair.Call("x"));
    REQUIRE(pair.RunUntil([&] { return pair.mResult.has_value(); }));
    CHECK(pair.mResult->mStatus == 201 && pair.mResult->mBody == "yes");
  }
}

Test(http, a_stall_of_the_process_does_not_count_as_silence_of_the_server) {
  Pair pair;
  pair.mHandle = [&pair] {
    // The answer is sent, then the loop is blocked for longer than the client's
    // timeout.
    pair.mExchange->Reply(200, "text/plain", "there");
    usleep(700 * 1000);
  };
  HttpCallOptions options = pair.Call("x");
  options.mTimeout = 300;
  const auto call = pair.mClient.Start(std::move(options));
  REQUIRE(pair.RunUntil([&] { return pair.mResult.has_value(); }));
  CHECK(pair.mResult->mComplete && pair.mResult->mBody == "there");
  SECTION("a silent server still causes a timeout") {
    pair.mHandle = [] { usleep(700 * 1000); };
    pair.mResult.reset();
    HttpCallOptions again = pair.Call("x");
    again.mTimeout = 300;
    const auto silent = pair.mClient.Start(std::move(again));
    REQUIRE(pair.RunUntil([&] { return pair.mResult.has_value(); }));
    CHECK(!pair.mResult->mComplete);
  }
  SECTION("a stall extends the timeout by its length at most") {
    pair.mHandle = [] { usleep(2000 * 1000); };
    pair.mResult.reset();
    HttpCallOptions again = pair.Call("x");
    again.mTimeout = 300;
    const auto silent = pair.mClient.Start(std::move(again));
    // Counting the stall twice would end the wait after 4 s, later than this.
    // The order of two events in one loop holds on a busy machine as well.
    bool firedBefore = false;
    const auto later = pair.mLoop.After(
        3900, [&] { firedBefore = !pair.mResult.has_value(); });
    REQUIRE(pair.RunUntil([&] { return pair.mResult.has_value(); }));
    CHECK(!pair.mResult->mComplete);
    CHECK(!firedBefore);
  }
}

Test(http, an_unanswered_request_is_not_sent_twice) {
  Pair pair;
  int seen = 0;
  pair.mHandle = [&] { seen++; };
  for (int round = 0; round < 3; round++) {
    pair.mResult.reset();
    HttpCallOptions options = pair.Call("x");
    options.mTimeout = 150;
    pair.mClient.StartDetached(options);
    REQUIRE(pair.RunUntil([&] { return pair.mResult.has_value(); }));
    CHECK(seen == round + 1);
  }
}

// A call used a pooled connection that the server had closed, before the loop
// had read the end of it: the call got no answer.
Test(http, a_closed_connection_is_not_reused) {
  Pair pair;
  pair.mHandle = [&] { pair.mExchange->Reply(200, "text/plain", "yes"); };
  pair.mClient.StartDetached(pair.Call("x"));
  REQUIRE(pair.RunUntil([&] { return pair.mResult.has_value(); }));
  REQUIRE(pair.mResult->mComplete);
  pair.mResult.reset();
  pair.mServer.CloseIdle();
  pair.mClient.StartDetached(pair.Call("x"));
  REQUIRE(pair.RunUntil([&] { return pair.mResult.has_value(); }));
  CHECK(pair.mResult->mComplete && pair.mResult->mBody == "yes");
}

Test(http, streams_are_cancelled_from_both_sides) {
  Pair pair;
  std::string got;
  pair.mHandle = [&] {
    pair.mExchange->StartStream(200, "text/plain");
    pair.mExchange->Write("one");
  };
  SECTION("the caller cancels inside its own callback") {
    std::unique_ptr<HttpCall> call;
    HttpCallOptions options = pair.Call("x");
    options.mOnData = [&](std::string_view aBytes) {
      got += aBytes;
      call.reset();
    };
    call = pair.mClient.Start(options);
    REQUIRE(pair.RunUntil([&] { return pair.mClosed; }));
    CHECK(got == "one" && !pair.mResult.has_value());
    CHECK(pair.mExchange->Closed());
    pair.mExchange->Write("into nothing");
    pair.mExchange->EndStream();
  }
  SECTION("a disconnect before any answer is detected") {
    pair.mClosed = false;
    pair.mHandle = nullptr;
    pair.mExchange.reset();
    auto call = pair.mClient.Start(pair.Call("x"));
    REQUIRE(pair.RunUntil([&] { return pair.mExchange != nullptr; }));
    call.reset();
    CHECK(pair.RunUntil([&] { return pair.mClosed; }));
  }
}

Test(http, a_disconnect_before_the_answer_leaks_no_memory) {
  CountBlocks();
  Pair pair;
  const auto leave = [&pair] {
    pair.mClosed = false;
    pair.mExchange.reset();
    auto call = pair.mClient.Start(pair.Call("x"));
    REQUIRE(pair.RunUntil([&] { return pair.mExchange != nullptr; }));
    call.reset();
    REQUIRE(pair.RunUntil([&] { return pair.mClosed; }));
    // Lets the loop free pending objects.
    pair.RunUntil([] { return true; });
  };
  const auto leaves = [&leave] {
    for (int i = 0; i < 5; i++) {
      leave();
    }
  };
  leaves();
  SECTION("with nothing sent") {
    const int before = sBlocks;
    leaves();
    CHECK(sBlocks <= before);
  }
  SECTION("during a stream") {
    pair.mHandle = [&pair] {
      pair.mExchange->StartStream(200, "text/plain");
      pair.mExchange->Write("one");
    };
    leaves();
    const int before = sBlocks;
    leaves();
    CHECK(sBlocks <= before);
  }
}

Test(http, bad_input_is_answered_or_closed) {
  Pair pair;
  pair.mHandle = [&] { pair.mExchange->Reply(200, "text/plain", "ok"); };
  SECTION("a body that is too large") {
    pair.mClient.StartDetached(pair.Call(std::string(5000, 'x')));
    REQUIRE(pair.RunUntil([&] { return pair.mResult.has_value(); }));
    CHECK(pair.mResult->mStatus == 413 || !pair.mResult->mComplete);
  }
  SECTION("no HTTP at all, headers without end, half a request") {
    for (const std::string& text :
         {std::string("\x16\x03\x01 nonsense\r\n\r\n"),
          "GET / HTTP/1.1\r\nX: " + std::string(40000, 'h'),
          std::string("POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n"),
          std::string("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc")}) {
      const int fd = ConnectTo(pair.mServer.Address());
      SendText(fd, text);
      shutdown(fd, SHUT_WR);
      char buf[512];
      CHECK(pair.RunUntil([&] {
        const ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN);
      }));
      close(fd);
    }
  }
  SECTION("a second request on the connection while the first waits") {
    pair.mExchange.reset();
    pair.mHandle = nullptr;
    const int fd = ConnectTo(pair.mServer.Address());
    const std::string request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    SendText(fd, request + request);
    REQUIRE(pair.RunUntil([&] { return pair.mExchange != nullptr; }));
    const auto first = pair.mExchange;
    pair.RunUntil([] { return true; });
    first->Reply(200, "text/plain", "one");
    REQUIRE(pair.RunUntil([&] { return pair.mExchange != first; }));
    pair.mExchange->Reply(200, "text/plain", "two");
    std::string got;
    char buf[512];
    CHECK(pair.RunUntil([&] {
      const ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
      got.append(buf, n > 0 ? static_cast<std::size_t>(n) : 0);
      return got.ends_with("two");
    }));
    close(fd);
  }
}

// A head without end was collected until the call timed out.
Test(http, a_head_without_end_fails_the_call_soon) {
  constexpr std::size_t kMostRead = std::size_t{8} * 1024 * 1024;
  EventLoop loop;
  HttpClient client(loop);
  RawUpstream server(loop, "raw");
  for (const char* repeated : {"x", "x: y\r\n"}) {
    server.AnswerWithoutEnd("HTTP/1.1 200 OK\r\nX: ", repeated);
    std::optional<HttpResult> result;
    const Millis begun = SteadyNow();
    const auto call =
        client.Start({.mServer = ParseEndpoint(server.Address(), "server"),
                      .mTimeout = kCallTimeout,
                      .mOnDone = [&result](const HttpResult& aResult) {
                        result = aResult;
                      }});
    REQUIRE(RunLoopUntil(loop, [&result] { return result.has_value(); }));
    CHECK(!result->mComplete);
    CHECK(SteadyNow() - begun < kCallTimeout / 2);
    CHECK(server.WrittenWithoutEnd() < kMostRead);
  }
}

namespace {

/// A client, and a server that sends what a test says.
struct RawPair {
  /// Sends a call and waits for its end.
  HttpResult Call(const AnswerForm& aForm) {
    mServer.SetAnswers({aForm.mBytes});
    mStreamed.clear();
    std::optional<HttpResult> result;
    const auto call = mClient.Start(
        {.mServer = ParseEndpoint(mServer.Address(), "server"),
         .mTimeout = kCallTimeout,
         .mOnData = [this](std::string_view aBytes) { mStreamed += aBytes; },
         .mOnDone =
             [&result](const HttpResult& aResult) { result = aResult; }});
    REQUIRE(RunLoopUntil(mLoop, [&result] { return result.has_value(); }));
    return *result;
  }

  EventLoop mLoop;
  HttpClient mClient{mLoop};
  RawUpstream mServer{mLoop, "raw"};
  std::string mStreamed;  ///< By the last call.
};

}  // namespace

// Guards against answers with a broken head that calls of the own interface
// took, with a body of another length or with none.
Test(http, an_answer_with_a_broken_head_fails_the_call) {
  RawPair pair;
  for (const AnswerForm& form : BrokenAnswers()) {
    const Millis begun = SteadyNow();
    const HttpResult result = pair.Call(form);
    CHECK_FOUND(!result.mComplete && result.mStatus == 0, form.mWhat);
    CHECK_FOUND(result.mSent, form.mWhat);
    CHECK_FOUND(result.mBody.empty() && result.mHeaders.empty(), form.mWhat);
    CHECK_FOUND(pair.mStreamed.empty(), form.mWhat);
    CHECK_FOUND(SteadyNow() - begun < kCallTimeout / 2, form.mWhat);
  }
}

namespace {

/// Checks that calls take all of these answers.
void CheckTaken(const std::vector<AnswerForm>& aForms) {
  RawPair pair;
  for (const AnswerForm& form : aForms) {
    const HttpResult result = pair.Call(form);
    CHECK_FOUND(result.mComplete && result.mStatus == form.mStatus, form.mWhat);
    const std::string& body =
        form.mStatus == 200 ? pair.mStreamed : result.mBody;
    CHECK_FOUND(body == form.mBody, form.mWhat);
  }
}

}  // namespace

// Guards against a check that fails calls whose answers are sound.
Test(http, sound_answers_are_taken_whole) {
  CheckTaken(SoundFinalAnswers());
}

// Guards against interim answers that are taken for final ones, or that fail
// the call.
Test(http, answers_after_interim_ones_are_taken_whole) {
  CheckTaken(SoundAnswersAfterInterimOnes());
}

// Guards against bytes beyond an answer that are taken for the answer to the
// next call on a kept connection.
Test(http, bytes_beyond_an_answer_do_not_answer_the_next_call) {
  EventLoop loop;
  HttpClient client(loop);
  int served = 0;
  const StreamServer server(
      loop, {.mListen = {"127.0.0.1", 0},
             .mHandle =
                 [&served](const std::shared_ptr<StreamExchange>& aExchange) {
                   if (served++ > 0) {
                     aExchange->Reply(200, {}, "next");
                     return;
                   }
                   aExchange->Start(200, {}, 2);
                   aExchange->Write(
                       "okHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale");
                   aExchange->End();
                 },
             .mRefuse = [](StreamExchange&, ResultCode) {}});
  const auto bodyOfCall = [&] {
    std::optional<HttpResult> result;
    const auto call =
        client.Start({.mServer = server.Address(),
                      .mTimeout = kCallTimeout,
                      .mOnDone = [&result](const HttpResult& aResult) {
                        result = aResult;
                      }});
    REQUIRE(RunLoopUntil(loop, [&result] { return result.has_value(); }));
    return result->mBody;
  };
  CHECK(bodyOfCall() == "ok");
  const std::string next = bodyOfCall();
  CHECK_FOUND(next == "next", next);
}

// Guards against bytes on a kept connection that its caller takes for the next
// answer: a body, or the last chunk, after a head that ends its answer.
Test(http, nothing_follows_a_head_that_ends_its_answer) {
  Pair pair;
  const auto answersTo = [&pair](const std::string& aMethod) {
    const int fd = ConnectTo(pair.mServer.Address());
    SendText(fd, aMethod +
                     " /x HTTP/1.1\r\nHost: h\r\n\r\n"
                     "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
    std::string got;
    char buf[512];
    CHECK(pair.RunUntil([&] {
      const ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
      got.append(buf, n > 0 ? static_cast<std::size_t>(n) : 0);
      return got.ends_with("next");
    }));
    close(fd);
    return got;
  };
  const auto checkFollowed = [](const std::string& aAnswers) {
    const std::size_t end = aAnswers.find("\r\n\r\n") + 4;
    CHECK_FOUND(aAnswers.substr(end).starts_with("HTTP/1.1 200"), aAnswers);
  };
  int status = 200;
  bool isStream = false;
  pair.mHandle = [&] {
    if (pair.mExchange->Path() == "/next") {
      pair.mExchange->Reply(200, "text/plain", "next");
    } else if (isStream) {
      pair.mExchange->StartStream(status, "text/plain");
      pair.mExchange->Write("extra");
      pair.mExchange->EndStream();
    } else {
      pair.mExchange->Reply(status, "text/plain", "extra");
    }
  };
  for (const bool streamed : {false, true}) {
    isStream = streamed;
    SECTION("an answer to HEAD") {
      status = 200;
      checkFollowed(answersTo("HEAD"));
    }
    SECTION("a 204") {
      status = 204;
      checkFollowed(answersTo("GET"));
    }
    SECTION("a 304") {
      status = 304;
      checkFollowed(answersTo("GET"));
    }
  }
}
