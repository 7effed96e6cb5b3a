#include "spindleweir/drivers/http_message.h"
#include "standins/answer_forms.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

/// Reads bytes at once and byte by byte; checks that the results are equal.
ReadState StateOf(MessageSide aSide, std::string_view aBytes,
                  std::string* aBody = nullptr, std::size_t* aUsed = nullptr) {
  HttpMessageReader whole(aSide);
  const std::size_t n = whole.Read(aBytes);
  HttpMessageReader slow(aSide);
  for (char byte : aBytes) {
    slow.Read({&byte, 1});
  }
  CHECK(slow.State() == whole.State());
  const std::string body = whole.TakeBody();
  CHECK(whole.State() == ReadState::kBad || slow.TakeBody() == body);
  if (aBody != nullptr) {
    *aBody = body;
  }
  if (aUsed != nullptr) {
    *aUsed = n;
  }
  return whole.State();
}

ReadState RequestState(std::string_view aBytes) {
  return StateOf(MessageSide::kRequests, aBytes);
}

}  // namespace

Test(http_message, requests_are_framed_exactly) {
  std::string body;
  std::size_t used = 0;
  SECTION("a length, and the next request stays") {
    const std::string one = "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
    CHECK(StateOf(MessageSide::kRequests, one + "POST /b", &body, &used) ==
          ReadState::kComplete);
    CHECK(body == "abc");
    CHECK(used == one.size());
  }
  SECTION("chunks") {
    const std::string one =
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n";
    CHECK(StateOf(MessageSide::kRequests, one + "GET", &body, &used) ==
          ReadState::kComplete);
    CHECK(body == "abcde");
    CHECK(used == one.size());
  }
  SECTION("heads that could hide a second request are refused") {
    CHECK(RequestState("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                       "Content-Length: 4\r\n\r\nabcd") == ReadState::kBad);
    CHECK(RequestState("POST / HTTP/1.1\r\nContent-Length: 3\r\n"
                       "Transfer-Encoding: chunked\r\n\r\nabc") ==
          ReadState::kBad);
    CHECK(RequestState("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "x\r\n") == ReadState::kBad);
    CHECK(RequestState("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n") ==
          ReadState::kBad);
    CHECK(RequestState("nonsense\r\n\r\n") == ReadState::kBad);
  }
  SECTION("a blank before the colon hides a header from some readers") {
    CHECK(RequestState("GET / HTTP/1.1\r\nX-A : 1\r\n\r\n") == ReadState::kBad);
    CHECK(RequestState("GET / HTTP/1.1\r\nX A: 1\r\n\r\n") == ReadState::kBad);
    CHECK(RequestState("GET / HTTP/1.1\r\nX-A: 1\r\n\r\n") ==
          ReadState::kComplete);
  }
  SECTION("other versions are refused as such") {
    for (const char* version : {"2.0", "0.9", "3.0"}) {
      HttpMessageReader reader(MessageSide::kRequests);
      reader.Read(std::string("GET / HTTP/") + version + "\r\n\r\n");
      CHECK(reader.State() == ReadState::kBad);
      CHECK(reader.IsOtherVersion());
    }
    HttpMessageReader later(MessageSide::kRequests);
    later.Read("GET / HTTP/1.2\r\n\r\n");
    CHECK(later.State() == ReadState::kComplete);
  }
  SECTION("a truncated chunk is not complete") {
    CHECK(RequestState("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "5\r\nab") == ReadState::kBody);
  }
}

Test(http_message, answers_end_by_length_or_connection) {
  SECTION("without a length only the end of the connection ends them") {
    HttpMessageReader reader(MessageSide::kAnswers);
    reader.Read("HTTP/1.1 200 OK\r\n\r\nabc");
    CHECK(reader.State() == ReadState::kBody);
    CHECK(reader.Answer().mUntilClose);
    reader.ReadEnd();
    CHECK(reader.State() == ReadState::kComplete);
  }
  SECTION("with a length the end of the connection does not") {
    HttpMessageReader reader(MessageSide::kAnswers);
    reader.Read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    reader.ReadEnd();
    CHECK(reader.State() == ReadState::kBody);
  }
  SECTION("an interim answer is skipped") {
    CHECK(StateOf(MessageSide::kAnswers,
                  "HTTP/1.1 100 Continue\r\n\r\n"
                  "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") ==
          ReadState::kComplete);
  }
  SECTION("a status below 100 is none") {
    for (const char* status : {"99", "099", "0", "000"}) {
      CHECK(StateOf(MessageSide::kAnswers,
                    std::string("HTTP/1.1 ") + status +
                        " X\r\nContent-Length: 0\r\n\r\n") == ReadState::kBad);
    }
  }
  SECTION("a blank before the colon makes an answer bad, as a request") {
    HttpMessageReader reader(MessageSide::kAnswers);
    reader.Read("HTTP/1.1 200 OK\r\nX-A : 1\r\nContent-Length: 0\r\n\r\n");
    CHECK(reader.State() == ReadState::kBad);
    CHECK(reader.Answer().mHeaders.empty());
  }
  SECTION("bytes that are not HTTP are bad") {
    CHECK(StateOf(MessageSide::kAnswers, "\x16\x03garbage\r\n\r\n") ==
          ReadState::kBad);
  }
}

// Guards against bytes after a head that ends its answer: they were read as its
// body by the length that the head states.
Test(http_message, answers_without_a_body_end_with_their_head) {
  for (const char* status : {"204 No Content", "304 Not Modified"}) {
    const std::string start = std::string("HTTP/1.1 ") + status + "\r\n";
    for (const char* framing :
         {"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
      const std::string head = start + framing + "\r\n";
      std::string body;
      std::size_t used = 0;
      CHECK(StateOf(MessageSide::kAnswers, head, &body, &used) ==
            ReadState::kComplete);
      CHECK(StateOf(MessageSide::kAnswers, head + "extra", &body, &used) ==
            ReadState::kComplete);
      CHECK(body.empty() && used == head.size());
    }
  }
  SECTION("an interim answer has no body either") {
    std::string body;
    CHECK(StateOf(MessageSide::kAnswers,
                  "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                  &body) == ReadState::kComplete);
    CHECK(body == "ok");
  }
}

namespace {

/// Checks that all of these answers are bad, and that nothing of them is read.
void CheckBad(const std::vector<AnswerForm>& aForms) {
  for (const AnswerForm& form : aForms) {
    std::string body;
    const ReadState state = StateOf(MessageSide::kAnswers, form.mBytes, &body);
    CHECK_FOUND(state == ReadState::kBad, form.mWhat);
    CHECK_FOUND(body.empty(), form.mWhat);
  }
}

}  // namespace

// Guards against answers with a broken head that were read as answers, with
// that line passed on or with a body of another length.
Test(http_message, an_answer_with_a_broken_field_is_bad) {
  CheckBad(AnswersWithBrokenFields());
}

// Guards against answers that were taken though their status line was broken.
Test(http_message, an_answer_with_a_broken_status_line_is_bad) {
  CheckBad(AnswersWithBrokenStatusLines());
}

// Guards against answers that were read though nothing says where they end.
Test(http_message, an_answer_with_a_broken_length_or_coding_is_bad) {
  CheckBad(AnswersWithBrokenFraming());
}

// Guards against checks that refuse what the standard allows.
Test(http_message, sound_answers_are_read_whole) {
  for (const AnswerForm& form : SoundAnswers()) {
    HttpMessageReader whole(MessageSide::kAnswers);
    whole.Read(form.mBytes);
    whole.ReadEnd();
    CHECK_FOUND(whole.State() == ReadState::kComplete, form.mWhat);
    CHECK_FOUND(whole.Answer().mStatus == form.mStatus, form.mWhat);
    CHECK_FOUND(whole.TakeBody() == form.mBody, form.mWhat);
    StateOf(MessageSide::kAnswers, form.mBytes);
  }
}

Test(http_message, hop_by_hop_headers_are_recognized) {
  const HttpHeaders headers = {
      {"Connection", "close, X-Hop"}, {"X-Hop", "1"}, {"X-End", "2"}};
  CHECK(IsConnectionHeader(headers, "x-hop"));
  CHECK(IsConnectionHeader(headers, "Transfer-Encoding"));
  CHECK(!IsConnectionHeader(headers, "X-End"));
  CHECK(!IsConnectionHeader({{"Connection", "Host"}}, "Host"));
}

/// Guards against a target in absolute form that was refused, though a server
/// must take it.
Test(http_message, the_authority_of_a_target_goes_before_host) {
  const auto resolve = [](const std::string& aTarget) {
    RequestHead head{.mTarget = aTarget, .mHeaders = {{"Host", "old"}}};
    const bool hasPath = ResolveTarget(head);
    return hasPath ? head.mHeaders[0].mValue + " " + head.mTarget : "";
  };
  CHECK(resolve("/a?b") == "old /a?b");
  CHECK(resolve("http://new/a?b") == "new /a?b");
  CHECK(resolve("HTTP://new:80/a") == "new:80 /a");
  CHECK(resolve("http://new") == "new /");
  CHECK(resolve("http://new?b") == "new /?b");
  SECTION("what is no path and no such form is refused") {
    for (const char* target : {"", "*", "a", "http://", "http:///a",
                               "http://user@new/a", "https://new/a"}) {
      CHECK(resolve(target).empty());
    }
  }
}
