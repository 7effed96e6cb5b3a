#include "spindleweir/servers/limits/crash_exchange.h"

namespace spindleweir {

namespace {

/// Limit of an answer's records: about 40 KB.
constexpr std::size_t kMaxRecordsPerAnswer = 64;
/// Limit of a poll's records: about 20 KB.
constexpr std::size_t kMaxRecordsPerPoll = 128;
/// Records change many times while crashes go on. A router gets each change
/// from the control that it depends on; the others, which it needs only if that
/// one is cut off from them, send what has settled.
constexpr Millis kSettlingTime = 1000;

}  // namespace

CrashLedger::Changes CrashesForPoller(const CrashLedger& aLedger,
                                      const CrashPoller& aPoller, Millis aNow) {
  if (aPoller.mIsControl) {
    return aLedger.ChangesSince(aPoller.mKnown, CrashAudience::kControl,
                                kMaxRecordsPerAnswer, aNow);
  }
  return aLedger.ChangesSince(
      aPoller.mKnown, CrashAudience::kRouter, kMaxRecordsPerAnswer, aNow,
      DependsOnControl(aPoller.mRouter) ? 0 : kSettlingTime);
}

CrashLedger::Changes CrashesForControl(const CrashLedger& aLedger,
                                       std::int64_t aAcknowledged,
                                       Millis aNow) {
  return aLedger.ChangesSince(aAcknowledged, CrashAudience::kControlOfRouter,
                              kMaxRecordsPerPoll, aNow);
}

}  // namespace spindleweir
