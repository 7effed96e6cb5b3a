/// Upstreams whose answers have broken heads. Such an answer reached callers,
/// with the broken line passed on or with a body of another length. It is no
/// answer of that upstream, whichever way it comes.
#include "standins/answer_forms.h"
#include "standins/raw_upstream.h"
#include "tests/daemons/link_cut.h"
#include "tests/daemons/relay_fixture.h"

using namespace spindleweir;

namespace {

constexpr const char* kBrokenFields[] = {"X A: 1\r\n",       "X-A : 1\r\n",
                                         "X\x01-A: 1\r\n",   "no field\r\n",
                                         "X-A: 1\r\n 2\r\n", " \r\n"};
/// Time for the routers to hear of each other.
constexpr Millis kAcquaintance = 1500;

/// A router whose only upstream sends what a test says.
struct BrokenFixture {
  explicit BrokenFixture(Millis aWarmUp = kShortWarmUp) : mFixture(aWarmUp) {
    mFixture.BeginRaw(mUpstream);
  }

  Answer Call(const std::string& aTarget, std::vector<std::string> aAnswers) {
    mUpstream.SetAnswers(std::move(aAnswers));
    return mFixture.Call(aTarget);
  }

  /// Checks that a caller is told that the outcome is unknown.
  static void CheckUnknown(const Answer& aAnswer, const std::string& aWhat) {
    CHECK_FOUND(aAnswer.mStatus == 502,
                aWhat + " " + std::to_string(aAnswer.mStatus));
    CHECK_FOUND(FindHeader(aAnswer.mHeaders, "Retry-After") == nullptr, aWhat);
    CHECK_FOUND(FindHeader(aAnswer.mHeaders, "X-Signature") == nullptr, aWhat);
  }

  /// Checks that none of these answers reaches a caller, and that a request
  /// that may not be repeated runs once.
  void CheckNoAnswer(const std::vector<AnswerForm>& aForms) {
    for (const AnswerForm& form : aForms) {
      for (const char* target : {"/pay/x", "/look/x", "/stream/x"}) {
        CheckUnknown(Call(target, {form.mBytes}), target + (" " + form.mWhat));
        const int most = target == std::string_view("/pay/x") ? 1 : 2;
        CHECK_FOUND(mUpstream.Answered() >= 1 && mUpstream.Answered() <= most,
                    form.mWhat);
      }
    }
  }

  RelayFixture mFixture;
  RawUpstream mUpstream{mFixture.mLoop, "raw"};
};

/// The same, and a second router that has lost its link to the upstream.
struct ForwardedFixture : BrokenFixture {
  ForwardedFixture() : BrokenFixture(kLongWarmUp) {
    REQUIRE(mFixture.RunUntil([this] { return mRouter->Ready(); }));
    mFixture.Wait(kAcquaintance);
    mCut.Cut(CutMode::kRefuseNew, {mUpstream.Address()});
  }

  Answer CallAtCutRouter(const std::string& aTarget, std::string aAnswer) {
    mUpstream.SetAnswers({std::move(aAnswer)});
    return mFixture.CallAt(*mRouter, aTarget);
  }

  std::int64_t Forwarded() const {
    return mFixture.mRouter->OwnCounters().Value("calls_forwarded");
  }

  LinkCut mCut;
  std::unique_ptr<RelayRouter> mRouter =
      mFixture.MakeRouter("cut", mCut.Hook());
};

/// An answer with one more field, which ends with CR and LF.
std::string AnswerWith(const std::string& aStatus, const std::string& aField,
                       const std::string& aBody) {
  return "HTTP/1.1 " + aStatus + "\r\nX-Signature: raw\r\n" + aField +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

}  // namespace

// Guards against answers whose head is broken, which reached callers.
Test(broken_answer, ends_as_an_unknown_outcome) {
  BrokenFixture fixture;
  SECTION("a field that is none") {
    fixture.CheckNoAnswer(AnswersWithBrokenFields());
  }
  SECTION("a status line that is none, with 000 too") {
    fixture.CheckNoAnswer(AnswersWithBrokenStatusLines());
  }
  SECTION("a length or a coding that is none") {
    fixture.CheckNoAnswer(AnswersWithBrokenFraming());
  }
}

// Guards against a check that keeps sound answers from callers.
Test(broken_answer, is_not_what_only_looks_unusual) {
  BrokenFixture fixture;
  for (const AnswerForm& form : SoundAnswers()) {
    for (const char* target : {"/pay/x", "/look/x"}) {
      const Answer answer = fixture.Call(target, {form.mBytes});
      CHECK_FOUND(answer.mStatus == form.mStatus,
                  form.mWhat + " " + std::to_string(answer.mStatus));
      CHECK_FOUND(answer.mBody == form.mBody, form.mWhat);
      CHECK_FOUND(answer.mEnd == StreamEnd::kComplete, form.mWhat);
    }
  }
}

// Guards against a broken answer that uses up a request which may be repeated,
// and against a second run of one that may not.
Test(broken_answer, is_retried_where_a_repetition_is_allowed) {
  const std::string sound = AnswerWith("200 OK", "", "body");
  for (const char* field : kBrokenFields) {
    BrokenFixture fixture;
    const std::string broken = AnswerWith("200 OK", field, "body");
    const Answer read = fixture.Call("/look/x", {broken, sound});
    CHECK_FOUND(read.mStatus == 200 && read.mBody == "body",
                std::string(field));
    CHECK_FOUND(fixture.mUpstream.Answered() == 2, std::string(field));
    const Answer paid = fixture.Call("/pay/x", {broken, sound});
    CHECK_FOUND(paid.mStatus == 502, std::string(field));
    CHECK_FOUND(fixture.mUpstream.Answered() == 1, std::string(field));
  }
}

// Guards against a refusal that is believed though its head is broken: who runs
// a request and then says so must not get it run again.
Test(broken_answer, does_not_say_that_a_request_was_not_run) {
  BrokenFixture fixture;
  for (const char* field : kBrokenFields) {
    for (const char* status : {"503 Busy", "429 Many", "421 Other", "200 OK"}) {
      const std::string refusal =
          AnswerWith(status, std::string("X-Ran: no\r\n") + field, "");
      BrokenFixture::CheckUnknown(fixture.Call("/pay/x", {refusal}),
                                  std::string(status) + field);
      CHECK(fixture.mUpstream.Answered() == 1);
    }
  }
}

// Guards against a resumed stream that goes on with what a broken answer holds.
Test(broken_answer, does_not_go_on_with_a_stream) {
  BrokenFixture fixture;
  const std::string cut =
      RawUpstream::StreamHead() + RawUpstream::Events(1, 2) + "id: 3\nda";
  for (const char* field : kBrokenFields) {
    const std::string broken = std::string(
                                   "HTTP/1.1 200 OK\r\nX-Signature: raw\r\n"
                                   "Content-Type: text/event-stream\r\n") +
                               field + "\r\n" + RawUpstream::Events(3, 5);
    const Answer answer = fixture.Call("/stream/x", {cut, broken});
    CHECK_FOUND(answer.mStatus == 200, std::string(field));
    CHECK_FOUND(answer.mEnd != StreamEnd::kComplete, std::string(field));
    CHECK_FOUND(answer.mBody == RawUpstream::Events(1, 2), answer.mBody);
  }
}

// Guards against broken answers that another router passes on, and against one
// that it reports as not sent.
Test(broken_answer, is_none_over_another_vm_either) {
  ForwardedFixture fixture;
  SECTION("sound answers come through") {
    const Answer answer = fixture.CallAtCutRouter(
        "/pay/x", AnswerWith("200 OK", "X-A: 1\r\n", "body"));
    CHECK(answer.mStatus == 200 && answer.mBody == "body");
    CHECK(fixture.Forwarded() >= 1);
  }
  SECTION("broken ones don't, whatever they say") {
    for (const char* field : kBrokenFields) {
      for (const char* status : {"200 OK", "404 None", "503 Busy"}) {
        const std::int64_t before = fixture.Forwarded();
        const Answer answer = fixture.CallAtCutRouter(
            "/pay/x",
            AnswerWith(status, std::string("X-Ran: no\r\n") + field, "body"));
        BrokenFixture::CheckUnknown(answer, std::string(status) + field);
        CHECK_FOUND(fixture.mUpstream.Answered() == 1, std::string(field));
        CHECK(fixture.Forwarded() > before);
      }
    }
  }
}
