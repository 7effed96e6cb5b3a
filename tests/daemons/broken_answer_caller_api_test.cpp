/// Upstreams whose answers have broken heads, behind the product's own
/// interface. evhttp took most of them for answers.
#include "spindleweir/drivers/file_tools.h"
#include "standins/answer_forms.h"
#include "standins/raw_upstream.h"
#include "tests/daemons/deployment.h"

using namespace spindleweir;

namespace {

constexpr const char* kServicePath = "/v1/services/kaunter-api/pay";
constexpr const char* kSound =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

/// A deployment whose plain service sends what a test says.
struct RawServiceDeployment {
  RawServiceDeployment() : mDeployment({.mZones = 1}) {
    mDeployment.Begin();
    ListRawService();
    mService.SetAnswers({kSound});
    REQUIRE(mDeployment.RunUntil([this] {
      const HttpResult answer = Call("GET", {});
      return answer.mStatus == 200 && answer.mBody == "body";
    }));
  }

  void ListRawService() {
    const std::string path = mDeployment.mFolder.Path("vms.json");
    std::string list = ReadFile(path).value_or("");
    for (const auto& [vm, service] : mDeployment.mServices) {
      const std::string address = service->Address().Text();
      list.replace(list.find(address), address.size(), mService.Address());
    }
    ReplaceFile(path, list);
  }

  HttpResult Call(const std::string& aMethod,
                  const std::vector<HttpHeader>& aHeaders) {
    std::vector<HttpHeader> headers = aHeaders;
    headers.push_back({"Authorization", std::string("Bearer ") + kTestKey});
    mLast = mDeployment.Send(0, aMethod, kServicePath,
                             aMethod == "POST" ? "{}" : "", headers);
    REQUIRE(mDeployment.RunUntil([this] { return mLast->mDone; }));
    return mLast->mHttp;
  }

  Deployment mDeployment;
  RawUpstream mService{mDeployment.mLoop, "raw"};
  std::shared_ptr<CallerResult> mLast;
};

std::vector<AnswerForm> OneOfEachKind() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 4\r\n";
  return {{"a blank in a name", ok + "X A: 1\r\n" + length + "\r\nbody"},
          {"a blank before the colon", ok + "Content-Length : 4\r\n\r\nbo"},
          {"a field that goes on", ok + "X-A: 1\r\n " + length + "\r\nbo"},
          {"a coding that is not known",
           ok + "Transfer-Encoding: x\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
          {"a status that is none", "HTTP/1.1 600 X\r\n" + length + "\r\nbody"},
          {"a refusal", "HTTP/1.1 503 Busy\r\nNot-Run: true\r\nX A: 1\r\n" +
                            length + "\r\nbody"}};
}

}  // namespace

// Guards against a broken answer that is passed on, believed as a refusal, or
// kept for the resends of a call that may not be repeated.
Test(broken_answer_caller_api, is_neither_passed_on_nor_kept) {
  RawServiceDeployment fixture;
  for (const AnswerForm& form : OneOfEachKind()) {
    fixture.mService.SetAnswers({form.mBytes, kSound});
    const HttpHeader key{"Idempotency-Key", form.mWhat};
    const HttpResult first = fixture.Call("POST", {key});
    CHECK_FOUND(first.mStatus == 502, form.mWhat + " " + first.mBody);
    CHECK_FOUND(fixture.mLast->Ran() == "unknown", form.mWhat);
    const HttpResult second = fixture.Call("POST", {key});
    CHECK_FOUND(second.mStatus == 502, form.mWhat + " " + second.mBody);
    CHECK_FOUND(fixture.mLast->Ran() == "unknown", form.mWhat);
    CHECK_FOUND(fixture.mService.Answered() == 1, form.mWhat);
  }
}
