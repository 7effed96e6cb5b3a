/// The part of StreamGuard that finds out whether an upstream, or a link of
/// this router to it, has failed.
#include <algorithm>
#include <utility>

#include "daemons/relay/forwarding_protocol.h"
#include "daemons/relay/stream_guard.h"
#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

/// An upstream that doesn't accept a connection within this time has crashed or
/// is disconnected: the round trip between zones takes a few milliseconds.
constexpr Millis kProbeTimeout = 40;
constexpr Millis kProbeInterval = 150;
constexpr Millis kAvoidAfterUnreachable = 2000;
/// A forwarder answers once its own connection has come about or timed out.
constexpr Millis kForwarderProbeTimeout = 250;
constexpr std::size_t kMaxForwarders = 3;
constexpr Json::ArrayIndex kMaxLoggedParts = 16;
/// Other upstreams that a router tries before it blames one: the first may have
/// ended, too.
constexpr std::size_t kMaxOthersTried = 2;

ForwarderFinding FindingOf(ForwardingRefusal aRefusal) {
  switch (aRefusal) {
    case ForwardingRefusal::kUnreachable:
      return ForwarderFinding::kUnreachable;
    case ForwardingRefusal::kRefused:
      return ForwarderFinding::kRefused;
    case ForwardingRefusal::kCutOff:
    case ForwardingRefusal::kBusy:
      break;
  }
  return ForwarderFinding::kNone;
}

}  // namespace

void StreamGuard::ProbeIfDue(const std::string& aInstance, Millis aNow) {
  const InstanceCheck& check = mProbes[aInstance];
  const bool isChecked = check.mCall != nullptr || check.mLinkCheck != nullptr;
  if (!isChecked && aNow - check.mAt >= kProbeInterval) {
    Probe(aInstance);
  }
}

void StreamGuard::OnAttemptLost(LostAttempt aAttempt) {
  const std::string instance = aAttempt.mInstance;
  const Millis now = SteadyNow();
  mContext.mCrashes.OnAttemptLost(std::move(aAttempt), now);
  ProbeIfDue(instance, now);
}

void StreamGuard::CountCrash(const std::string& aInstance) {
  const CrashSuspects crash =
      mContext.mCrashes.OnUpstreamCrashed(aInstance, SteadyNow());
  if (crash.mRequests.empty()) {
    return;
  }
  const CrashLedger& ledger = mContext.mCrashes.Ledger();
  mContext.mCounters.Add("crashes_seen");
  Json::Value suspects(Json::arrayValue);
  Json::Value barred(Json::arrayValue);
  for (const std::string& content : crash.mRequests) {
    suspects.append(content);
    if (ledger.IsBarred(content)) {
      barred.append(content);
    }
  }
  Json::Value parts(Json::objectValue);
  for (const std::string& part : crash.mParts) {
    const std::vector<OpenCrash> crashes = ledger.OpenCrashes(part);
    if (!crashes.empty() && parts.size() < kMaxLoggedParts) {
      parts[part] = static_cast<Json::UInt64>(CrashRounds(crashes));
    }
  }
  LogLine(LogLevel::kWarning, "upstream_crashed")
      .Add("instance", aInstance)
      .Add("suspects", suspects)
      .Add("barred", barred)
      .Add("parts", parts);
}

void StreamGuard::Probe(const std::string& aInstance) {
  const UpstreamRecord* record = mContext.mRegistry.Find(aInstance);
  if (record == nullptr) {
    CountCrash(aInstance);
    return;
  }
  InstanceCheck& check = mProbes[aInstance];
  check.mAt = SteadyNow();
  check.mStart = record->mStart;
  const bool isLost = mContext.mLinks.IsLost(aInstance, check.mAt) &&
                      !mContext.mForwarders.Empty();
  if (isLost) {
    ProbeByForwarders(aInstance, false);
    return;
  }
  const auto outcome = std::make_shared<ProbeOutcome>(ProbeOutcome::kNoAnswer);
  StreamCallOptions options;
  options.mServer = ParseEndpoint(record->mAddress, "address of an upstream");
  options.mConnectTimeout = kProbeTimeout;
  options.mMaySend = [outcome] {
    *outcome = ProbeOutcome::kConnected;
    return false;
  };
  options.mOnRefused = [outcome] { *outcome = ProbeOutcome::kRefused; };
  options.mOnEnd = [this, aInstance, outcome](StreamEnd) {
    ProbeEnded(aInstance, *outcome);
  };
  check.mCall =
      mContext.mOptions.mStartCall(mContext.mLoop, std::move(options));
}

void StreamGuard::ProbeEnded(const std::string& aInstance,
                             ProbeOutcome aOutcome) {
  InstanceCheck& check = mProbes[aInstance];
  const Millis took = SteadyNow() - check.mAt;
  // The call is on the stack: it is destroyed in the next turn of the loop.
  const std::shared_ptr<StreamCall> call = std::move(check.mCall);
  mContext.mLoop.Post([call] {});
  mContext.mCounters.Add("probes");
  const bool refused = aOutcome == ProbeOutcome::kRefused;
  const bool restarted = check.mStart != mContext.StartOf(aInstance);
  if (restarted) {
    CountCrash(aInstance);
    return;
  }
  if (aOutcome == ProbeOutcome::kConnected) {
    mContext.mLinks.OnConnected(aInstance, SteadyNow());
    mContext.mCrashes.OnUpstreamAlive(aInstance);
    return;
  }
  if (!refused && WasLateSince(check.mAt)) {
    return;
  }
  LogLine(LogLevel::kInfo, "upstream_unreachable")
      .Add("instance", aInstance)
      .Add("after_ms", static_cast<Json::Int64>(took));
  mContext.mLinks.OnFailed(aInstance, SteadyNow());
  if (mContext.mForwarders.Empty()) {
    OnUnreachable(aInstance, refused);
    return;
  }
  // Its streams move at once; other processes are told only if the upstream is
  // to blame and not a link of this router.
  mContext.RecordFailure(aInstance, kAvoidAfterUnreachable);
  MoveStreamsOff({aInstance}, MoveReason::kUnreachable);
  ProbeByForwarders(aInstance, refused);
}

void StreamGuard::OnUnreachable(const std::string& aInstance, bool aRefused) {
  mContext.RecordUnreachable(aInstance, kAvoidAfterUnreachable);
  MoveStreamsOff({aInstance}, MoveReason::kUnreachable);
  if (aRefused) {
    // Only a refused connection proves a crash: without an answer the upstream
    // may also be disconnected.
    CountCrash(aInstance);
  }
}

void StreamGuard::ProbeByForwarders(const std::string& aInstance,
                                    bool aRefused) {
  std::vector<std::string>& forwarders = mProbes[aInstance].mForwarders;
  forwarders = mContext.mForwarders.Order(
      mContext.mOptions.mZone, [this] { return mContext.Random(); },
      SteadyNow());
  forwarders.resize(std::min(forwarders.size(), kMaxForwarders));
  ProbeByNextForwarder(aInstance, aRefused);
}

void StreamGuard::ProbeByNextForwarder(const std::string& aInstance,
                                       bool aRefused) {
  InstanceCheck& check = mProbes[aInstance];
  const auto finding =
      std::make_shared<ForwarderFinding>(ForwarderFinding::kNone);
  StreamCallOptions options;
  options.mServer =
      ParseEndpoint(check.mForwarders.front(), "address of a forwarder");
  AddForwardingFacts({.mKey = mContext.mOptions.mClusterKey,
                      .mInstance = aInstance,
                      .mOnlyConnect = true},
                     options.mHeaders);
  options.mConnectTimeout = kForwarderProbeTimeout;
  options.mTimeout = kForwarderProbeTimeout;
  options.mOnHead = [finding](const AnswerHead& aHead) {
    HttpHeaders headers = aHead.mHeaders;
    *finding = TakeForwardedMark(headers)
                   ? ForwarderFinding::kReached
                   : FindingOf(ReadForwardingRefusal(headers));
  };
  options.mOnEnd = [this, aInstance, finding, aRefused](StreamEnd) {
    ForwarderProbeEnded(aInstance, *finding, aRefused);
  };
  check.mCall =
      mContext.mOptions.mStartCall(mContext.mLoop, std::move(options));
}

void StreamGuard::ForwarderProbeEnded(const std::string& aInstance,
                                      ForwarderFinding aFinding,
                                      bool aRefused) {
  InstanceCheck& check = mProbes[aInstance];
  // The call is on the stack: it is destroyed in the next turn of the loop.
  const std::shared_ptr<StreamCall> call = std::move(check.mCall);
  mContext.mLoop.Post([call] {});
  const Millis now = SteadyNow();
  if (check.mStart != mContext.StartOf(aInstance)) {
    CountCrash(aInstance);
    return;
  }
  if (aFinding == ForwarderFinding::kReached) {
    LogLine(LogLevel::kInfo, "link_lost")
        .Add("instance", aInstance)
        .Add("forwarder", check.mForwarders.front())
        .Add("cut_off", mContext.mLinks.IsCutOff(now));
    mContext.mLinks.OnForwarded(aInstance, now);
    mContext.EndAvoidance(aInstance);
    mContext.mCrashes.OnUpstreamAlive(aInstance);
    MoveStreamsOff({aInstance}, MoveReason::kLinkLost);
    return;
  }
  if (aFinding != ForwarderFinding::kNone) {
    OnUnreachable(aInstance,
                  aRefused || aFinding == ForwarderFinding::kRefused);
    return;
  }
  mContext.mForwarders.OnFailed(check.mForwarders.front(), now);
  check.mForwarders.erase(check.mForwarders.begin());
  if (!check.mForwarders.empty()) {
    ProbeByNextForwarder(aInstance, aRefused);
    return;
  }
  BlameIfLinked(aInstance, aRefused);
}

void StreamGuard::BlameIfLinked(const std::string& aInstance, bool aRefused) {
  InstanceCheck& check = mProbes[aInstance];
  check.mLinkCheck = std::make_unique<LinkCheck>(
      mContext,
      LinkCheckOptions{.mInstance = aInstance,
                       .mMaxTried = kMaxOthersTried,
                       .mOnEnd = [this, aInstance, aRefused](bool aHasLinks) {
                         mContext.mLoop.Post(
                             [ended = std::shared_ptr<LinkCheck>(std::move(
                                  mProbes[aInstance].mLinkCheck))] {});
                         LogLine(LogLevel::kInfo, "own_links_checked")
                             .Add("instance", aInstance)
                             .Add("has_links", aHasLinks);
                         if (aHasLinks) {
                           OnUnreachable(aInstance, aRefused);
                         }
                       }});
  if (!check.mLinkCheck->Start()) {
    // Nobody knows whose fault it is.
    check.mLinkCheck.reset();
  }
}

}  // namespace spindleweir
