#include "standins/plain_protocol.h"

#include <sstream>

#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

std::string ValueOf(const HttpHeaders& aHeaders, const char* aName) {
  const std::string* value = FindHeader(aHeaders, aName);
  return value == nullptr ? "" : *value;
}

RequestFacts ReadRequest(const RequestHead& aHead) {
  RequestFacts facts;
  facts.mId = ValueOf(aHead.mHeaders, "X-Request");
  facts.mHost = ValueOf(aHead.mHeaders, "Host");
  facts.mKey = ValueOf(aHead.mHeaders, "X-Key");
  const std::string deadline = ValueOf(aHead.mHeaders, "X-Deadline");
  facts.mDeadline = deadline.empty() ? 0 : std::stoll(deadline);
  std::istringstream parts(ValueOf(aHead.mHeaders, kPartsHeader));
  for (std::string part; std::getline(parts, part, ',');) {
    facts.mSharedParts.push_back(part);
  }
  return facts;
}

HttpHeaders WriteRequest(const RequestHead& aHead,
                         const DispatchFacts& aDispatch) {
  HttpHeaders headers = {{"Host", "upstream"},
                         {"X-Request", ValueOf(aHead.mHeaders, "X-Request")},
                         {kPartsHeader, ValueOf(aHead.mHeaders, kPartsHeader)},
                         {"X-Workspace", aDispatch.mWorkspace},
                         {"X-Instance", aDispatch.mInstance}};
  if (aDispatch.mLastEvent.has_value()) {
    headers.push_back({"X-After", std::to_string(*aDispatch.mLastEvent)});
  }
  return headers;
}

AnswerFacts ReadAnswer(const AnswerHead& aHead, const RequestFacts&) {
  AnswerFacts facts;
  facts.mRan = ValueOf(aHead.mHeaders, "X-Ran") == "no" ? Ran::kNo : Ran::kYes;
  facts.mSigned = FindHeader(aHead.mHeaders, "X-Signature") != nullptr;
  facts.mIsStream =
      ValueOf(aHead.mHeaders, "Content-Type") == "text/event-stream";
  const std::string limit = ValueOf(aHead.mHeaders, "X-Limit");
  if (!limit.empty()) {
    facts.mLimit.mPerSecond = std::stod(limit);
  }
  const std::string backoff = ValueOf(aHead.mHeaders, "X-Rest");
  facts.mBackoff = backoff.empty() ? 0 : std::stoll(backoff);
  facts.mLeaves = FindHeader(aHead.mHeaders, "X-Leaves") != nullptr;
  return facts;
}

HttpHeaders WriteAnswer(const AnswerHead& aHead) {
  return {{"X-Signature", ValueOf(aHead.mHeaders, "X-Signature")}};
}

HttpHeaders WriteRefusal(const std::string&, Millis aRetryAfter) {
  if (aRetryAfter < 0) {
    return {};
  }
  return {{"Retry-After", std::to_string(aRetryAfter)}};
}

}  // namespace

CallerProtocol PlainCallerProtocol() {
  return {.mReadRequest = &ReadRequest,
          .mWriteRequest = &WriteRequest,
          .mReadAnswer = &ReadAnswer,
          .mWriteAnswer = &WriteAnswer,
          .mWriteRefusal = &WriteRefusal};
}

DocumentProtocol PlainDocumentProtocol() {
  return {.mRead = [](std::string_view aText) {
    return FromJson<TrafficConfiguration>(ParseJson(aText));
  }};
}

EngineProtocol PlainEngineProtocol() {
  return {
      .mWritePlace =
          [](const PlaceOrder& aOrder) {
            return EngineMessage{
                .mMethod = "POST",
                .mTarget = "/place",
                .mHeaders = {{"Host", "engine"},
                             {kExpectedInstanceHeader, aOrder.mInstance}}};
          },
      .mWriteRepath =
          [](const RepathOrder& aOrder) {
            EngineMessage message{.mMethod = "POST",
                                  .mTarget = kRepathTarget,
                                  .mHeaders = {{"Host", "engine"}}};
            for (const PathStage& stage : *aOrder.mPath) {
              message.mBody += stage.mInstance + " ";
            }
            return message;
          },
      .mWriteStateRequest =
          [] { return EngineMessage{.mMethod = "GET", .mTarget = "/state"}; },
      .mReadState = [](std::string_view) { return EngineState{}; }};
}

}  // namespace spindleweir
