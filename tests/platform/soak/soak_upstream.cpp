#include "tests/platform/soak/soak_upstream.h"

#include <algorithm>

#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

constexpr Millis kHeartbeatInterval = 300;
constexpr Millis kRestartDelay = 400;
constexpr Millis kLeaveDuration = 2600;
constexpr int kSlots = 192;
constexpr const char* kId = "Spindleweir-Request-Id";
constexpr const char* kSeal = "Spindleweir-Response-Seal";

std::string ValueOf(const HttpHeaders& aHeaders, const char* aName) {
  const std::string* value = FindHeader(aHeaders, aName);
  return value == nullptr ? "" : *value;
}

/// The id of the last request in the bytes of a connection; "" if there is
/// none.
std::string LastRequestIdIn(const std::string& aBytes) {
  const std::string name = std::string(kId) + ": ";
  const std::size_t at = aBytes.rfind(name);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t from = at + name.size();
  return aBytes.substr(from, aBytes.find("\r\n", from) - from);
}

}  // namespace

std::string SoakEvents(const std::string& aId, int aFrom, int aTo) {
  std::string events;
  for (int id = aFrom; id <= aTo; id++) {
    events += "id: " + std::to_string(id) + "\ndata: " + aId + "\n\n";
  }
  return events;
}

SoakUpstream::SoakUpstream(EventLoop& aLoop, std::string aName,
                           SoakUpstreamOptions aOptions)
    : mLoop(aLoop), mName(std::move(aName)), mOptions(std::move(aOptions)) {
  Start();
}

void SoakUpstream::Start() {
  mInstance = mName + "-" + std::to_string(++mStarts);
  mStartedAt = WallMicros() / 1000;
  mFrom = mTo = mOrders = 0;
  mLeaving = false;
  mServer = std::make_unique<StreamServer>(
      mLoop, StreamServerOptions{
                 .mListen = {"127.0.0.1", 0},
                 .mHandle =
                     [this](const std::shared_ptr<StreamExchange>& aExchange) {
                       Handle(aExchange);
                     },
                 .mRefuse = [](StreamExchange& aExchange,
                               ResultCode) { aExchange.Abort(); }});
  mLink = std::make_unique<SoakLink>(
      mLoop, mServer->Address(),
      [this](const std::string& aBytes) { CountHeldRequest(aBytes); },
      [this](const std::string& aBytes) { RecordDelivery(aBytes); });
  mHeartbeatTimer =
      mLoop.Every(kHeartbeatInterval, [this] { SendHeartbeat(); });
  mEventTimer = mLoop.Every(kEventInterval, [this] { WriteEvents(); });
  SendHeartbeat();
}

void SoakUpstream::CountLostRuns(LostRuns aRuns) {
  for (Run& run : mRuns) {
    SoakRequest* request = mOptions.mRecord->Find(run.mId);
    const bool isLost =
        run.IsOpen() && (aRuns == LostRuns::kOpen || !run.mEnded);
    if (request != nullptr && !run.mCountedLost && isLost) {
      run.mCountedLost = true;
      request->mLostRuns++;
    }
  }
}

std::size_t SoakUpstream::UndeliveredAnswers() const {
  return static_cast<std::size_t>(std::count_if(
      mRuns.begin(), mRuns.end(),
      [](const Run& aRun) { return aRun.mEnded && aRun.IsOpen(); }));
}

void SoakUpstream::RecordDelivery(const std::string& aBytes) {
  const std::string id = LastRequestIdIn(aBytes);
  for (Run& run : mRuns) {
    run.mDelivered = run.mDelivered || (run.mEnded && run.mId == id);
  }
}

void SoakUpstream::CountHeldRequest(const std::string& aBytes) {
  SoakRequest* request = mOptions.mRecord->Find(LastRequestIdIn(aBytes));
  if (request != nullptr) {
    request->mLostRuns++;
  }
}

void SoakUpstream::End() {
  CountLostRuns(LostRuns::kOpen);
  if (!mLoadReductions.empty() &&
      mLoadReductions.back().IsActive(WallMicros())) {
    mLoadReductions.back().End(WallMicros());
  }
  mRuns.clear();
  mHeartbeatTimer.reset();
  mEventTimer.reset();
  mLink.reset();
  mServer.reset();
  mEndTimer = mLoop.After(kRestartDelay, [this] { Start(); });
}

void SoakUpstream::Crash() {
  End();
}

void SoakUpstream::ReduceLoad(ReductionKind aKind) {
  const std::int64_t now = WallMicros();
  if (mLoadReductions.empty() || !mLoadReductions.back().IsActive(now)) {
    mLoadReductions.emplace_back(aKind, mInstance, now);
  }
}

HttpHeaders SoakUpstream::WithNotices(const SoakRequest& aRequest,
                                      HttpHeaders aHeaders) {
  const std::int64_t now = WallMicros();
  if (!mLoadReductions.empty() && mLoadReductions.back().IsActive(now)) {
    const HttpHeaders notices =
        mLoadReductions.back().OnRequest(aRequest.mRouter, now);
    aHeaders.insert(aHeaders.end(), notices.begin(), notices.end());
  }
  if (mLeaving) {
    aHeaders.push_back({"Server-Leaving", "1"});
  }
  return aHeaders;
}

void SoakUpstream::InjectLinkFault(int aKind) {
  constexpr Millis kShort = 400;
  constexpr Millis kLong = 2500;
  switch (aKind) {
    case 0:
      CountLostRuns(LostRuns::kOpen);
      mLink->Reset();
      break;
    case 1:
      // Routers regard the upstream as silent.
      CountLostRuns(LostRuns::kOpen);
      mLink->Pause(kLong, false);
      break;
    case 2:
      CountLostRuns(LostRuns::kOpen);
      mLink->Pause(kLong, true);
      break;
    default:
      mLink->Slow(kShort);
  }
}

void SoakUpstream::Leave() {
  mLeaving = true;
  CountLostRuns(LostRuns::kUnfinished);
  SendHeartbeat();
  mEndTimer = mLoop.After(kLeaveDuration, [this] {
    PostToControl("/-/Instances.Leave/" + mInstance, "{}");
    // A timer of this upstream is on the stack.
    mLoop.Post([this] { End(); });
  });
}

void SoakUpstream::SendHeartbeat() {
  Json::Value body(Json::objectValue);
  body["service"] = mOptions.mService;
  body["address"] = mLink->Address();
  body["zone"] = mOptions.mZone;
  body["slots"] = kSlots;
  body["state"] = mLeaving ? "draining" : "ready";
  body["seq"] = static_cast<Json::Int64>(++mSequence);
  body["born"] = static_cast<Json::Int64>(mStartedAt);
  if (mOptions.mEngine) {
    body["kind"] = "soak";
    if (mTo > mFrom) {
      body["layers"]["from"] = mFrom;
      body["layers"]["targetVersion"] = mTo;
    }
  }
  PostToControl("/-/Instances.Heartbeat/" + mInstance, DumpJson(body));
}

void SoakUpstream::SetControls(std::vector<Endpoint> aControls) {
  mControl %= aControls.size();
  mOptions.mControls = std::move(aControls);
}

void SoakUpstream::PostToControl(const std::string& aTarget,
                                 const std::string& aBody) {
  StreamCallOptions options;
  options.mServer = mOptions.mControls[mControl];
  options.mMethod = "POST";
  options.mTarget = aTarget;
  options.mHeaders = {{"Host", "control"},
                      {"Content-Type", "application/json"}};
  options.mBody = aBody;
  options.mTimeout = kHeartbeatInterval - kEventInterval;
  const auto status = std::make_shared<int>(0);
  options.mOnHead = [status](const AnswerHead& aHead) {
    *status = aHead.mStatus;
  };
  options.mOnEnd = [this, status](StreamEnd) {
    if (*status != 200) {
      mControl = (mControl + 1) % mOptions.mControls.size();
    }
  };
  // The previous call may be on the stack.
  mLoop.Post([before = std::shared_ptr<StreamCall>(std::move(mCall))] {});
  mCall = StartStreamCall(mLoop, std::move(options));
}

void SoakUpstream::Handle(const std::shared_ptr<StreamExchange>& aExchange) {
  const RequestHead& head = aExchange->Head();
  if (head.mTarget == "/-/order") {
    HandleOrder(*aExchange);
  } else if (head.mTarget == "/-/report") {
    HandleReport(*aExchange);
  } else if (ValueOf(head.mHeaders, "Spindleweir-Expect-Instance") !=
             mInstance) {
    aExchange->Reply(421, {{"Spindleweir-Not-Executed", "1"}}, "");
  } else {
    RunRequest(aExchange);
  }
}

void SoakUpstream::HandleOrder(StreamExchange& aExchange) {
  const Json::Value order = ParseJson(aExchange.Body());
  if (order["op"] == "place") {
    mFrom = order["from"].asInt();
    mTo = order["targetVersion"].asInt();
    mOrders++;
  }
  aExchange.Reply(200, {}, "{}");
}

void SoakUpstream::HandleReport(StreamExchange& aExchange) {
  Json::Value report(Json::objectValue);
  report["born"] = static_cast<Json::Int64>(mStartedAt);
  report["seq"] = mOrders;
  report["running"] = static_cast<int>(mRuns.size() - UndeliveredAnswers());
  report["layers"]["from"] = mFrom;
  report["layers"]["targetVersion"] = mTo;
  aExchange.Reply(200, {{"Content-Type", "application/json"}},
                  DumpJson(report));
}

void SoakUpstream::RunRequest(
    const std::shared_ptr<StreamExchange>& aExchange) {
  const RequestHead& head = aExchange->Head();
  const std::string id = ValueOf(head.mHeaders, kId);
  SoakRequest* request = mOptions.mRecord->Find(id);
  if (request == nullptr) {
    aExchange->Abort();
    return;
  }
  request->mArrivals.push_back(WallMicros());
  if (!mLoadReductions.empty() &&
      mLoadReductions.back().Rejects(WallMicros())) {
    aExchange->Reply(503, WithNotices(*request, {{kId, id}}), "");
    return;
  }
  request->mRuns++;
  HttpHeaders headers = WithNotices(*request, {{kId, id}, {kSeal, mInstance}});
  if (mOptions.mFails) {
    aExchange->Reply(500, headers, "failed");
    return;
  }
  if (!mOptions.mEngine) {
    aExchange->Reply(200, headers, "by " + id);
    return;
  }
  headers.push_back({"Content-Type", "text/event-stream"});
  aExchange->Start(200, headers, std::nullopt);
  const std::string after = ValueOf(head.mHeaders, "Last-Event-Id");
  const std::string& target = head.mTarget;
  const int last = std::stoi(target.substr(target.rfind('/') + 1));
  mRuns.push_back({.mExchange = aExchange,
                   .mId = id,
                   .mNextEvent = after.empty() ? 1 : std::stoi(after) + 1,
                   .mLastEvent = last});
  if (mLink->BlocksAnswers() || mLeaving) {
    // The router receives no answer, or learns only now that the upstream
    // leaves.
    CountLostRuns(mLink->BlocksAnswers() ? LostRuns::kOpen
                                         : LostRuns::kUnfinished);
  }
}

void SoakUpstream::WriteEvents() {
  std::erase_if(mRuns, [](const Run& aRun) { return !aRun.IsOpen(); });
  for (Run& run : mRuns) {
    if (run.mEnded) {
      continue;
    }
    if (run.mNextEvent > run.mLastEvent) {
      run.mEnded = true;
      run.mExchange->End();
      continue;
    }
    run.mExchange->Write(SoakEvents(run.mId, run.mNextEvent, run.mNextEvent));
    run.mNextEvent++;
  }
}

}  // namespace spindleweir
