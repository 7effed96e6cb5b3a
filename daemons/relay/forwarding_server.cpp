#include "daemons/relay/forwarding_server.h"

#include <algorithm>
#include <charconv>

#include "daemons/relay/stream_guard.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr int kUnavailable = 503;
/// Many round trips between zones; the router that asks tries others after it.
constexpr Millis kConnectTimeout = 150;
/// A router that was delayed within this time takes no calls of others.
constexpr Millis kDelayWindow = 200;
/// A head may grow by the forwarding headers and by what the router adds.
constexpr std::size_t kMaxHeaderBytes = 64 * 1024;
constexpr std::size_t kMaxBodyBytes = 64 * 1024 * 1024;

std::shared_ptr<MemoryBudget> BudgetOf(const RelayOptions& aOptions) {
  MemoryBudgetOptions options = MemoryBudgetOptions::ForMemory(
      aOptions.mMemoryBytes / kForwardingDivisor);
  options.mMaxDescriptors = aOptions.mDescriptors / kForwardingDivisor;
  return std::make_shared<MemoryBudget>(options);
}

/// The length that the head states; nullopt: none.
std::optional<std::size_t> LengthOf(const AnswerHead& aHead) {
  const std::string* text = FindHeader(aHead.mHeaders, "Content-Length");
  std::size_t length = 0;
  const bool parsed =
      text != nullptr &&
      std::from_chars(text->data(), text->data() + text->size(), length).ec ==
          std::errc();
  return parsed ? std::optional(length) : std::nullopt;
}

HttpHeaders WithoutConnectionHeaders(const HttpHeaders& aHeaders) {
  HttpHeaders kept;
  for (const HttpHeader& header : aHeaders) {
    if (!IsConnectionHeader(aHeaders, header.mName)) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace

ForwardingServer::ForwardingServer(RelayContext& aContext)
    : mContext(aContext),
      mServer(aContext.mLoop,
              {.mListen = aContext.mOptions.mForwardingListen,
               .mLimits = {.mMaximumHeaderBytes = kMaxHeaderBytes,
                           .mMaximumBodyBytes = kMaxBodyBytes},
               .mHandle =
                   [this](const std::shared_ptr<StreamExchange>& aExchange) {
                     Handle(aExchange);
                   },
               .mRefuse =
                   [this](StreamExchange& aExchange, ResultCode) {
                     Refuse(aExchange, ForwardingRefusal::kBusy);
                   },
               .mMemory = BudgetOf(aContext.mOptions)}) {}

ForwardingServer::~ForwardingServer() = default;

void ForwardingServer::EndCalls() {
  const auto calls = mCalls;
  for (const auto& [key, call] : calls) {
    HandleEnd(*call, StreamEnd::kLost);
  }
}

bool ForwardingServer::HasRoom() const {
  return !mContext.mStopping && !mContext.mMemory->IsUnderPressure() &&
         !mContext.mGuard->WasLateSince(SteadyNow() - kDelayWindow);
}

void ForwardingServer::Handle(
    const std::shared_ptr<StreamExchange>& aExchange) {
  aExchange->CloseAfter();
  HttpHeaders headers = aExchange->Head().mHeaders;
  const std::optional<ForwardingFacts> facts = TakeForwardingFacts(headers);
  const bool allowed =
      facts.has_value() && facts->mKey == mContext.mOptions.mClusterKey;
  const UpstreamRecord* upstream =
      allowed ? mContext.mRegistry.Find(facts->mInstance) : nullptr;
  if (upstream == nullptr || !HasRoom()) {
    LogLine(LogLevel::kInfo, "not_forwarded")
        .Add("instance", facts.has_value() ? facts->mInstance : "")
        .Add("why", NameOf(ForwardingRefusal::kBusy))
        .Add("allowed", allowed)
        .Add("known", upstream != nullptr)
        .Add("stopping", mContext.mStopping)
        .Add("memory_short", mContext.mMemory->IsUnderPressure());
    Refuse(*aExchange, ForwardingRefusal::kBusy);
    return;
  }
  if (mContext.mLinks.IsLost(facts->mInstance, SteadyNow())) {
    // A call that went on to another router could come back.
    Refuse(*aExchange, ForwardingRefusal::kCutOff);
    return;
  }
  const auto call = std::make_shared<ForwardedCall>();
  call->mExchange = aExchange;
  call->mFacts = *facts;
  call->mHeaders = WithoutConnectionHeaders(headers);
  call->mStartedAt = SteadyNow();
  mCalls[call.get()] = call;
  mContext.mCounters.Add("calls_forwarded");
  Start(call, *upstream);
}

void ForwardingServer::Start(const std::shared_ptr<ForwardedCall>& aCall,
                             const UpstreamRecord& aUpstream) {
  ForwardedCall& call = *aCall;
  StreamExchange& exchange = *call.mExchange;
  const std::weak_ptr<ForwardedCall> weak = aCall;
  exchange.OnClosed([this, weak] {
    if (const auto open = weak.lock()) {
      Remove(*open);
    }
  });
  exchange.OnDrained([weak] {
    const auto open = weak.lock();
    if (open != nullptr && open->mCall != nullptr) {
      open->mCall->Pause(false);
    }
  });
  StreamCallOptions options;
  options.mServer = ParseEndpoint(aUpstream.mAddress, "address of an upstream");
  options.mMethod = exchange.Head().mMethod;
  options.mTarget = exchange.Head().mTarget;
  options.mHeaders = std::move(call.mHeaders);
  options.mSharedBody = exchange.Body();
  options.mConnectTimeout = kConnectTimeout;
  options.mMemory = exchange.Memory();
  options.mMaySend = [this, &call] {
    call.mConnected = true;
    mContext.mLinks.OnConnected(call.mFacts.mInstance, SteadyNow());
    return !call.mFacts.mOnlyConnect && !call.mExchange->Closed();
  };
  options.mOnRefused = [&call] { call.mWasRefused = true; };
  options.mOnHead = [this, &call](const AnswerHead& aHead) {
    HandleHead(call, aHead);
  };
  options.mOnData = [&call](std::string_view aBytes) {
    call.mExchange->Write(aBytes);
    if (!call.mExchange->MayWriteMore()) {
      call.mCall->Pause(true);
    }
  };
  options.mOnEnd = [this, &call](StreamEnd aEnd) { HandleEnd(call, aEnd); };
  call.mCall = mContext.mOptions.mStartCall(mContext.mLoop, std::move(options));
}

void ForwardingServer::HandleHead(ForwardedCall& aCall,
                                  const AnswerHead& aHead) {
  HttpHeaders headers = WithoutConnectionHeaders(aHead.mHeaders);
  MarkForwarded(headers);
  aCall.mExchange->Start(aHead.mStatus, headers, LengthOf(aHead));
}

void ForwardingServer::HandleEnd(ForwardedCall& aCall, StreamEnd aEnd) {
  StreamExchange& exchange = *aCall.mExchange;
  if (aCall.mConnected && aCall.mFacts.mOnlyConnect) {
    HttpHeaders headers;
    MarkForwarded(headers);
    exchange.Reply(kForwardingConnected, headers, "");
  } else if (aEnd == StreamEnd::kNotSent) {
    CheckOwnLinks(aCall);
    return;
  } else if (aEnd == StreamEnd::kComplete) {
    exchange.End();
  } else if (exchange.Started()) {
    exchange.EndTruncated();
  } else {
    // The upstream may have run the call: no answer says otherwise.
    exchange.Abort();
  }
  Remove(aCall);
}

void ForwardingServer::CheckOwnLinks(ForwardedCall& aCall) {
  mContext.mLinks.OnFailed(aCall.mFacts.mInstance, SteadyNow());
  // The ended call may be on the stack.
  mContext.mLoop.Post(
      [ended = std::shared_ptr<StreamCall>(std::move(aCall.mCall))] {});
  const auto end = [this, &aCall](bool aHasLinks) {
    const ForwardingRefusal fault = aCall.mWasRefused
                                        ? ForwardingRefusal::kRefused
                                        : ForwardingRefusal::kUnreachable;
    EndUnsent(aCall, aHasLinks ? fault : ForwardingRefusal::kCutOff);
  };
  aCall.mLinkCheck = std::make_unique<LinkCheck>(
      mContext,
      LinkCheckOptions{.mInstance = aCall.mFacts.mInstance, .mOnEnd = end});
  if (!aCall.mLinkCheck->Start()) {
    EndUnsent(aCall, ForwardingRefusal::kCutOff);
  }
}

void ForwardingServer::EndUnsent(ForwardedCall& aCall,
                                 ForwardingRefusal aRefusal) {
  mContext.mCounters.Add("calls_not_forwarded");
  LogLine(LogLevel::kInfo, "not_forwarded")
      .Add("instance", aCall.mFacts.mInstance)
      .Add("why", NameOf(aRefusal))
      .Add("took_ms", static_cast<Json::Int64>(SteadyNow() - aCall.mStartedAt));
  Refuse(*aCall.mExchange, aRefusal);
  Remove(aCall);
}

void ForwardingServer::Refuse(StreamExchange& aExchange,
                              ForwardingRefusal aRefusal) {
  aExchange.CloseAfter();
  aExchange.Reply(kUnavailable, WriteForwardingRefusal(aRefusal), "");
}

void ForwardingServer::Remove(ForwardedCall& aCall) {
  const auto it = mCalls.find(&aCall);
  if (it == mCalls.end()) {
    return;
  }
  if (aCall.mCall != nullptr) {
    aCall.mCall->Abandon();
  }
  mContext.mLoop.Post([removed = it->second] {});
  mCalls.erase(it);
}

}  // namespace spindleweir
