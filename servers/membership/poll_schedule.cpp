#include "spindleweir/servers/membership/poll_schedule.h"

#include <algorithm>

namespace spindleweir {

namespace {

/// Poll interval while the control has not sent the one that it asks for.
constexpr Millis kDefaultInterval = 150;
/// Controls other than the nearest have longer poll intervals: they are needed
/// only when the nearest is lost, and a control serves two of these routers for
/// each one that it is the nearest of.
constexpr double kOthersIntervalFactor = 4;
/// Limit while the nearest answers: 25.8 of 51 MB that 83 routers and 6
/// controls sent between zones in 48 s were these polls.
constexpr double kMaxOthersIntervalFactor = 8;
/// An upstream that leaves must get no new work after 2 s, even if the nearest
/// control is cut off from the control that received its leave.
constexpr Millis kMaxOthersInterval = 1200;
constexpr Millis kPollTimeout = 1000;
/// Until a configuration is held. A control whose VM is still starting drops
/// messages, so that a long timeout would delay the first answer.
constexpr Millis kFirstConfigurationTimeout = 300;
/// The delay, and the timeout until a configuration is held, double with each
/// failed poll up to this factor. When 31 routers that started together polled
/// again every 0.3 s, two controls of 0.15 cores were busy for 10 s with
/// answers that had timed out.
constexpr int kMaxBackoffFactor = 4;
/// Part of the usual delay after which a router without a lease polls the
/// nearest control again: the leader that it waits for is elected within 0.2 s.
constexpr double kNoLeaseFactor = 0.5;
/// Other controls are polled half as often, since the nearest may not be a
/// voter, and then learns of a leader late: when a zone of 13 routers polled
/// the others every 0.6 s, it was ready 0.4 s after all other parts.
constexpr double kNoLeaseOthersFactor = 2;
/// The delay without a lease is at least this many milliseconds per router.
/// Five controls then each answer at most 500 polls a second of 0.25 ms, and
/// have 0.15 of a core each.
constexpr double kNoLeaseMillisPerRouter = 0.8;
/// With more routers none polls sooner: 300 without a lease would poll each
/// control three times as often as usual, while it has to elect a leader, read
/// the configuration and list 3,000 upstreams.
constexpr int kMaxRoutersPollingSooner = 200;
/// A control that refused the connection did no work for the poll, and is
/// polled again soon: processes that start together listen within 0.25 s of
/// each other.
constexpr Millis kRefusedDelay = 100;
/// The part of a delay after failures that is not random.
constexpr double kMinJitterShare = 0.5;

constexpr Millis kMinRouterPollInterval = 150;
constexpr double kPollIntervalPerRouter = 3.5;
/// Least retention of loads, of pollers and of the contact with the nearest
/// control, and the poll intervals that each must outlast: a window that stood
/// still would end between two polls once there are many routers.
constexpr Millis kMinLoadsRetention = 2500;
constexpr Millis kLoadsRetentionIntervals = 4;
constexpr Millis kMinPollerRetention = 2500;
constexpr Millis kPollerRetentionIntervals = 8;
constexpr Millis kMinNearestContactWindow = 1500;
constexpr Millis kNearestContactIntervals = 3;
/// Interval at which controls poll each other, and the least for each control:
/// one then sends and answers at most 84 of these polls a second.
constexpr Millis kControlPollInterval = 300;
constexpr Millis kPollIntervalPerControl = 12;
/// Polls of another control without an answer after which it is out of contact.
constexpr Millis kUnansweredControlPolls = 5;

/// With more upstreams only the nearest control sends their changes.
constexpr std::size_t kMaxUpstreamsSentByAll = 400;

/// The poll interval of a control that is not the nearest.
Millis OthersInterval(const PolledControl& aControl, Millis aInterval) {
  const auto shortest = static_cast<Millis>(kOthersIntervalFactor * aInterval);
  if (!aControl.mNearestAnswers) {
    return shortest;
  }
  const double factor =
      std::clamp(kOthersIntervalFactor * (1 + aControl.mCosts.mInterZoneByte),
                 kOthersIntervalFactor, kMaxOthersIntervalFactor);
  const auto wanted = static_cast<Millis>(factor * aInterval);
  return std::max(shortest, std::min(wanted, kMaxOthersInterval));
}

int BackoffFactor(int aFailures) {
  return std::min(kMaxBackoffFactor,
                  1 << std::min(aFailures, kMaxBackoffFactor));
}

/// Part of the interval after which a router without a lease polls again.
double NoLeaseFactor(const PolledControl& aControl, Millis aInterval) {
  const double shortest = aControl.mRouterCount * kNoLeaseMillisPerRouter;
  const double nearest =
      std::max(kNoLeaseFactor, shortest / static_cast<double>(aInterval));
  return aControl.mIsNearest ? nearest : nearest * kNoLeaseOthersFactor;
}

/// Whether there are few enough routers that controls have time for more polls.
/// A router that has just started does not know the number: when each of 300
/// took itself for the only one, they polled three times as often as usual, and
/// no control got to send a configuration.
bool PollsSooner(const PolledControl& aControl) {
  return aControl.mRouterCount > 1 &&
         aControl.mRouterCount <= kMaxRoutersPollingSooner;
}

}  // namespace

Millis NextPollDelay(const PolledControl& aControl) {
  if (aControl.mWasRefused && aControl.mLacksLease) {
    return kRefusedDelay;
  }
  const Millis interval =
      aControl.mInterval > 0 ? aControl.mInterval : kDefaultInterval;
  const int backoff = BackoffFactor(aControl.mFailures);
  const double jitter =
      backoff == 1 ? 1
                   : kMinJitterShare + (1 - kMinJitterShare) * aControl.mJitter;
  double delay = static_cast<double>(
      aControl.mIsNearest ? interval : OthersInterval(aControl, interval));
  if (aControl.mLacksLease && PollsSooner(aControl)) {
    const double withoutLease =
        static_cast<double>(interval) * NoLeaseFactor(aControl, interval);
    delay = std::min(delay, withoutLease);
  }
  return static_cast<Millis>(delay * backoff * jitter);
}

Millis RouterPollInterval(std::size_t aPollers) {
  const double shortest =
      kPollIntervalPerRouter * static_cast<double>(aPollers);
  return std::max(kMinRouterPollInterval, static_cast<Millis>(shortest));
}

Millis LoadsRetention(Millis aInterval) {
  return std::max(kMinLoadsRetention, kLoadsRetentionIntervals * aInterval);
}

Millis PollerRetention(Millis aInterval) {
  return std::max(kMinPollerRetention, kPollerRetentionIntervals * aInterval);
}

Millis NearestContactWindow(Millis aInterval) {
  return std::max(kMinNearestContactWindow,
                  kNearestContactIntervals * aInterval);
}

Millis ControlPollInterval(std::size_t aControls) {
  return std::max(kControlPollInterval,
                  kPollIntervalPerControl * static_cast<Millis>(aControls));
}

Millis ControlContactTimeout(std::size_t aControls) {
  return kUnansweredControlPolls * ControlPollInterval(aControls);
}

bool SendsUpstreamChanges(const PollingRouter& aRouter,
                          std::size_t aUpstreams) {
  return aUpstreams <= kMaxUpstreamsSentByAll || DependsOnControl(aRouter);
}

bool DependsOnControl(const PollingRouter& aRouter) {
  return aRouter.mIsNearest || !aRouter.mNearestAnswers;
}

Millis PollTimeout(const PolledControl& aControl) {
  return aControl.mLacksConfiguration
             ? std::min(kPollTimeout, kFirstConfigurationTimeout *
                                          BackoffFactor(aControl.mFailures))
             : kPollTimeout;
}

}  // namespace spindleweir
