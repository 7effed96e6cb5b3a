#include "spindleweir/drivers/event_loop.h"

#include <event2/event.h>
#include <signal.h>
#include <time.h>

#include <algorithm>
#include <vector>

#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

constexpr int kMillisPerSecond = 1000;
constexpr int kMicrosPerMilli = 1000;

timeval ToTimeval(Millis aDelay) {
  timeval tv{};
  tv.tv_sec = aDelay / kMillisPerSecond;
  tv.tv_usec = (aDelay % kMillisPerSecond) * kMicrosPerMilli;
  return tv;
}

/// So often a loop notes that it runs.
constexpr Millis kTickInterval = 50;
/// A gap between two notes up to this is ordinary work: on a tenth of a core
/// a container gets the processor in slices that are 90 ms apart.
constexpr Millis kMaxNormalGap = 150;

/// Milliseconds by the clock of libevent's timers.
Millis TimerNow() {
  timespec now{};
  (void)clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * kMillisPerSecond +
         now.tv_nsec / (kMicrosPerMilli * kMicrosPerMilli);
}

/// Time in which this VM was suspended since it was booted.
Millis TotalSuspendedTime() {
  return SteadyNow() - TimerNow();
}

/// The two clocks are not read at the same moment.
constexpr Millis kClockSlack = 5;

}  // namespace

/// Owns libevent events that call one function.
class EventTimer : public Timer {
 public:
  explicit EventTimer(std::function<void()> aCall) : mCall(std::move(aCall)) {}
  ~EventTimer() override {
    for (event* item : mEvents) {
      event_free(item);
    }
    if (mTimers != nullptr) {
      mTimers->erase(mPlace);
    }
  }
  EventTimer(const EventTimer&) = delete;
  EventTimer& operator=(const EventTimer&) = delete;

  void Add(event_base* aBase, int aFd, short aWhat) {
    event* item = event_new(aBase, aFd, aWhat, &EventTimer::Fire, this);
    mEvents.push_back(item);
    event_add(item, nullptr);
  }

  /// Waits for a time. aPeriod: between calls; 0: there is one only.
  void AddTimeout(event_base* aBase, std::list<EventTimer*>& aTimers,
                  Millis aDelay, Millis aPeriod) {
    const int what = EV_TIMEOUT | (aPeriod > 0 ? EV_PERSIST : 0);
    event* item =
        event_new(aBase, -1, static_cast<short>(what), &EventTimer::Fire, this);
    mEvents.push_back(item);
    mPeriod = aPeriod;
    mDueAt = SteadyNow() + aDelay;
    const timeval tv = ToTimeval(aDelay);
    event_add(item, &tv);
    mTimers = &aTimers;
    mPlace = aTimers.insert(aTimers.end(), this);
  }

  Millis DueAt() const { return mDueAt; }

  /// Waits for what is left until it is due. What is done again and again is
  /// done at once: libevent takes no other time for its next call alone.
  void Rearm(Millis aNow) {
    event* item = mEvents.front();
    if (event_pending(item, EV_TIMEOUT, nullptr) == 0) {
      return;
    }
    if (mPeriod > 0 || mDueAt <= aNow) {
      event_active(item, EV_TIMEOUT, 0);
      return;
    }
    const timeval tv = ToTimeval(mDueAt - aNow);
    event_add(item, &tv);
  }

 private:
  static void Fire(evutil_socket_t, short, void* aSelf) {
    auto* self = static_cast<EventTimer*>(aSelf);
    self->mDueAt = SteadyNow() + self->mPeriod;
    // The call may destroy the timer, so that it runs from a copy.
    const std::function<void()> call = self->mCall;
    call();
  }

  std::function<void()> mCall;
  std::vector<event*> mEvents;
  Millis mPeriod = 0;
  Millis mDueAt = 0;
  std::list<EventTimer*>* mTimers = nullptr;  ///< Of the loop.
  std::list<EventTimer*>::iterator mPlace;
};

namespace {

/// A timer that is set again for what its loop has not yet run of the delay.
class RunningTimer : public Timer {
 public:
  RunningTimer(EventLoop& aLoop, Millis aDelay, std::function<void()> aCall)
      : mLoop(aLoop),
        mCall(std::move(aCall)),
        mDueAt(aLoop.RunningNow() + aDelay) {
    Set(aDelay);
  }

 private:
  void Set(Millis aDelay) {
    mTimer = mLoop.After(aDelay, [this] {
      const Millis left = mDueAt - mLoop.RunningNow();
      if (left > 0) {
        Set(left);
        return;
      }
      // The call may destroy the timer, so that it runs from a copy.
      const std::function<void()> call = mCall;
      call();
    });
  }

  EventLoop& mLoop;
  std::function<void()> mCall;
  Millis mDueAt;  ///< By RunningNow().
  std::unique_ptr<Timer> mTimer;
};

}  // namespace

EventLoop::EventLoop()
    : mBase(event_base_new()),
      mLastTickAt(SteadyNow()),
      mSuspended(TotalSuspendedTime()) {
  if (mBase == nullptr) {
    throw Error(ResultCode::kInternal, "no event loop to be had");
  }
  mPostEvent = event_new(mBase, -1, 0, &EventLoop::RunPosted, this);
  mTickEvent = event_new(mBase, -1, EV_TIMEOUT | EV_PERSIST,
                         &EventLoop::HandleTick, this);
  const timeval period = ToTimeval(kTickInterval);
  event_add(mTickEvent, &period);
  signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
  // What was posted may own timers of this loop.
  mPosted.clear();
  event_free(mTickEvent);
  event_free(mPostEvent);
  event_base_free(mBase);
}

void EventLoop::Run() {
  event_base_dispatch(mBase);
}

void EventLoop::Stop() {
  event_base_loopbreak(mBase);
}

std::unique_ptr<Timer> EventLoop::After(Millis aDelay,
                                        std::function<void()> aCall) {
  auto timer = std::make_unique<EventTimer>(std::move(aCall));
  timer->AddTimeout(mBase, mTimers, aDelay, 0);
  return timer;
}

std::unique_ptr<Timer> EventLoop::AfterRunning(Millis aDelay,
                                               std::function<void()> aCall) {
  return std::make_unique<RunningTimer>(*this, aDelay, std::move(aCall));
}

std::unique_ptr<Timer> EventLoop::Every(Millis aPeriod,
                                        std::function<void()> aCall) {
  auto timer = std::make_unique<EventTimer>(std::move(aCall));
  timer->AddTimeout(mBase, mTimers, aPeriod, aPeriod);
  return timer;
}

void EventLoop::Post(std::function<void()> aCall) {
  mPosted.push_back(std::move(aCall));
  event_active(mPostEvent, EV_TIMEOUT, 0);
}

void EventLoop::RunPosted(int, short, void* aSelf) {
  auto* self = static_cast<EventLoop*>(aSelf);
  const std::vector<std::function<void()>> posted = std::move(self->mPosted);
  self->mPosted.clear();
  for (const std::function<void()>& call : posted) {
    call();
  }
}

void EventLoop::HandleTick(int, short, void* aSelf) {
  auto* self = static_cast<EventLoop*>(aSelf);
  self->mStalledTime = self->StalledTime();
  self->mLastTickAt = SteadyNow();
  self->RearmTimers();
}

void EventLoop::RearmTimers() {
  const Millis suspended = TotalSuspendedTime();
  if (suspended - mSuspended <= kClockSlack) {
    return;
  }
  mSuspended = suspended;
  std::vector<EventTimer*> timers(mTimers.begin(), mTimers.end());
  std::stable_sort(timers.begin(), timers.end(),
                   [](const EventTimer* aLeft, const EventTimer* aRight) {
                     return aLeft->DueAt() < aRight->DueAt();
                   });
  const Millis now = SteadyNow();
  for (EventTimer* timer : timers) {
    timer->Rearm(now);
  }
}

Millis EventLoop::StalledTime() const {
  const Millis gap = SteadyNow() - mLastTickAt;
  return mStalledTime + (gap > kMaxNormalGap ? gap - kTickInterval : 0);
}

std::unique_ptr<Timer> EventLoop::OnStopSignal(std::function<void()> aCall) {
  // libevent restores what it found once the handler goes. By default a second
  // signal would kill the process then, while it ends in order.
  signal(SIGTERM, SIG_IGN);
  signal(SIGINT, SIG_IGN);
  auto timer = std::make_unique<EventTimer>(std::move(aCall));
  timer->Add(mBase, SIGTERM, EV_SIGNAL | EV_PERSIST);
  timer->Add(mBase, SIGINT, EV_SIGNAL | EV_PERSIST);
  return timer;
}

void EventLoop::IgnoreReloadSignal() {
  signal(SIGHUP, SIG_IGN);
}

std::unique_ptr<Timer> EventLoop::OnReloadSignal(std::function<void()> aCall) {
  auto timer = std::make_unique<EventTimer>(std::move(aCall));
  timer->Add(mBase, SIGHUP, EV_SIGNAL | EV_PERSIST);
  return timer;
}

}  // namespace spindleweir
