#include "standins/scripted_upstream.h"

#include <algorithm>

#include "standins/plain_protocol.h"

namespace spindleweir {

namespace {

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

int LastEventOf(const RequestHead& aHead) {
  const std::string* value = FindHeader(aHead.mHeaders, "X-After");
  return value == nullptr ? 0 : std::stoi(*value);
}

}  // namespace

ScriptedUpstream::ScriptedUpstream(EventLoop& aLoop, std::string aInstance)
    : mLoop(aLoop),
      mInstance(std::move(aInstance)),
      mFailureStatus(kServerError) {
  mServer = std::make_unique<StreamServer>(
      aLoop, StreamServerOptions{
                 .mListen = {"127.0.0.1", 0},
                 .mHandle =
                     [this](const std::shared_ptr<StreamExchange>& aExchange) {
                       Handle(aExchange);
                     },
                 .mRefuse = [](StreamExchange& aExchange,
                               ResultCode) { aExchange.Abort(); }});
  mAddress = mServer->Address().Text();
}

void ScriptedUpstream::Crash() {
  if (mCrashed) {
    return;
  }
  mCrashed = true;
  // A call of the server is on the stack.
  mLoop.Post([this] { mServer.reset(); });
}

void ScriptedUpstream::QueueActions(std::vector<UpstreamAction> aActions) {
  mPendingActions.assign(aActions.begin(), aActions.end());
}

HttpHeaders ScriptedUpstream::WithNotices(HttpHeaders aHeaders) const {
  if (mLimit.has_value()) {
    aHeaders.push_back({"X-Limit", std::to_string(*mLimit)});
  }
  if (mLeaving) {
    aHeaders.push_back({"X-Leaves", "1"});
  }
  if (mBackoff.value_or(0) > 0) {
    aHeaders.push_back({"X-Rest", std::to_string(*mBackoff)});
  }
  return aHeaders;
}

int ScriptedUpstream::ArrivalsSince(Millis aFrom) const {
  return static_cast<int>(
      std::count_if(mArrivals.begin(), mArrivals.end(),
                    [aFrom](Millis aAt) { return aAt >= aFrom; }));
}

int ScriptedUpstream::MaxArrivalsIn(Millis aWindow, Millis aFrom) const {
  int most = 0;
  for (auto first = mArrivals.begin(); first != mArrivals.end(); first++) {
    if (*first < aFrom) {
      continue;
    }
    const auto last =
        std::upper_bound(first, mArrivals.end(), *first + aWindow);
    most = std::max(most, static_cast<int>(last - first));
  }
  return most;
}

int ScriptedUpstream::Arrivals(const std::string& aRequest) const {
  const auto it = mArrivalsOf.find(aRequest);
  return it == mArrivalsOf.end() ? 0 : it->second;
}

int ScriptedUpstream::Runs(const std::string& aRequest) const {
  const auto it = mRuns.find(aRequest);
  return it == mRuns.end() ? 0 : it->second;
}

int ScriptedUpstream::TotalRuns() const {
  int runs = 0;
  for (const auto& [request, n] : mRuns) {
    runs += n;
  }
  return runs;
}

bool ScriptedUpstream::CrashesOn(const RequestHead& aHead) const {
  if (!mCrashTarget.empty() && aHead.mTarget.ends_with(mCrashTarget)) {
    return true;
  }
  const std::vector<std::string> parts =
      PlainCallerProtocol().mReadRequest(aHead).mSharedParts;
  return std::find(parts.begin(), parts.end(), mCrashPart) != parts.end();
}

void ScriptedUpstream::Handle(
    const std::shared_ptr<StreamExchange>& aExchange) {
  if (aExchange->Head().mTarget == kRepathTarget) {
    HandleRepath(*aExchange);
    return;
  }
  mArrivals.push_back(SteadyNow());
  const std::string* request =
      FindHeader(aExchange->Head().mHeaders, "X-Request");
  const std::string id = request == nullptr ? "" : *request;
  mArrivalsOf[id]++;
  UpstreamAction action = UpstreamAction::kAnswer;
  if (!mPendingActions.empty()) {
    action = mPendingActions.front();
    mPendingActions.pop_front();
  }
  if (action == UpstreamAction::kRefuse || mBackoff.has_value()) {
    aExchange->Reply(kUnavailable, WithNotices({{"X-Ran", "no"}}), "");
    return;
  }
  mRuns[id]++;
  if (CrashesOn(aExchange->Head())) {
    Crash();
    return;
  }
  aExchange->OnClosed([this] { mClosedEarly++; });
  if (action == UpstreamAction::kSilent) {
    return;
  }
  if (action == UpstreamAction::kDelayedAnswer) {
    mTimers.push_back(mLoop.After(kAnswerDelay, [this, aExchange] {
      aExchange->Reply(kOk, WithNotices({{"X-Signature", mInstance}}),
                       "by " + mInstance);
    }));
    return;
  }
  if (aExchange->Head().mTarget.starts_with("/stream/")) {
    Stream(aExchange, action);
    return;
  }
  if (action == UpstreamAction::kTruncate) {
    aExchange->Start(kOk, WithNotices({{"X-Signature", mInstance}}), 100);
    aExchange->Write("part");
    aExchange->Abort();
    return;
  }
  const std::string body = mBytes > 0 && request != nullptr
                               ? BodyOf(*request, mBytes)
                               : "by " + mInstance;
  aExchange->Reply(action == UpstreamAction::kFail ? mFailureStatus : kOk,
                   WithNotices({{"X-Signature", mInstance}}), body);
}

void ScriptedUpstream::HandleRepath(StreamExchange& aOrder) {
  mRepaths.push_back(aOrder.Body());
  const bool refused = mRejectedRepaths > 0;
  mRejectedRepaths -= refused ? 1 : 0;
  aOrder.Reply(refused ? kConflict : kOk, {}, "");
}

std::string ScriptedUpstream::BodyOf(const std::string& aRequest,
                                     std::size_t aBytes) {
  std::string body;
  while (body.size() < aBytes) {
    body += aRequest + " ";
  }
  body.resize(aBytes);
  return body;
}

void ScriptedUpstream::WriteSlowly(
    const std::shared_ptr<StreamExchange>& aExchange, int aId) {
  if (aId > kEvents) {
    aExchange->End();
    return;
  }
  aExchange->Write("id: " + std::to_string(aId) + "\ndata: x\n\n");
  mTimers.push_back(mLoop.After(kEventInterval, [this, aExchange, aId] {
    WriteSlowly(aExchange, aId + 1);
  }));
}

void ScriptedUpstream::Stream(const std::shared_ptr<StreamExchange>& aStream,
                              UpstreamAction aAction) {
  constexpr int kTruncatedEvents = 2;
  StreamExchange& exchange = *aStream;
  exchange.Start(kOk,
                 WithNotices({{"X-Signature", mInstance},
                              {"Content-Type", "text/event-stream"}}),
                 std::nullopt);
  const int first = LastEventOf(exchange.Head()) + 1;
  if (aAction == UpstreamAction::kSlowStream) {
    WriteSlowly(aStream, first);
    return;
  }
  for (int id = first; id <= kEvents; id++) {
    if (aAction == UpstreamAction::kTruncate &&
        id - first >= kTruncatedEvents) {
      exchange.Write("id: " + std::to_string(id) + "\nda");
      // Aborts only when the written bytes have been sent.
      exchange.OnDrained([exchange = &exchange] { exchange->Abort(); });
      return;
    }
    exchange.Write("id: " + std::to_string(id) + "\ndata: x\n\n");
    if (aAction == UpstreamAction::kStall) {
      return;
    }
  }
  exchange.End();
}

}  // namespace spindleweir
