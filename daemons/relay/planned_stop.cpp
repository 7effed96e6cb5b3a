#include "daemons/relay/planned_stop.h"

#include <algorithm>
#include <utility>

#include "spindleweir/core/log.h"

namespace spindleweir {

namespace {

constexpr Millis kStepInterval = 100;
/// The balancer sends callers here until it has seen twice, one second apart,
/// that this router isn't ready.
constexpr Millis kServeTime = 2500;
/// With a shorter grace than usual, callers are served for this fraction (1/N)
/// of it.
constexpr Millis kServeDivisor = 3;
/// Time for the last answers to leave this process before it is killed.
constexpr Millis kGraceMargin = 300;

}  // namespace

PlannedStop::PlannedStop(RelayContext& aContext, StreamServer& aServer,
                         PlannedStopHooks aHooks)
    : mContext(aContext), mServer(aServer), mHooks(std::move(aHooks)) {}

Millis PlannedStop::GraceOf(const RelayOptions& aOptions) {
  return aOptions.mStopGrace - kGraceMargin;
}

void PlannedStop::Begin() {
  if (mContext.mStopping) {
    return;
  }
  mContext.mStopping = true;
  mBegunAt = SteadyNow();
  mContext.mShutdownAdmission.Stop(mBegunAt);
  mServer.SetClosing();
  LogLine(LogLevel::kInfo, "stopping")
      .Add("open_requests", mHooks.mOpenRequests());
  mTimer = mContext.mLoop.Every(kStepInterval, [this] { Step(); });
}

void PlannedStop::Step() {
  const Millis since = SteadyNow() - mBegunAt;
  const Millis grace = GraceOf(mContext.mOptions);
  if (since < std::min(kServeTime, grace / kServeDivisor)) {
    return;
  }
  mServer.CloseIdle();
  const bool over = since > grace;
  if (over) {
    mHooks.mEndRequests();
  }
  if (mHooks.mOpenRequests() > 0) {
    return;
  }
  if (mListens) {
    // Callers that have connected until now are answered in another step.
    mListens = false;
    mServer.StopListening();
    return;
  }
  if (mServer.Connections() == 0 || over) {
    End();
  }
}

void PlannedStop::End() {
  LogLine(LogLevel::kInfo, "stopped")
      .Add("open_requests", mHooks.mOpenRequests())
      .Add("connections", static_cast<int>(mServer.Connections()))
      .Add("took_ms", static_cast<Json::Int64>(SteadyNow() - mBegunAt));
  mContext.mLoop.Stop();
}

}  // namespace spindleweir
