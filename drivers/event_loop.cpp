#include "spindleweir/drivers/event_loop.h"

#include <event2/event.h>
#include <signal.h>
#include <time.h>

#include <algorithm>
#include <vector>

#include "spindleweir/core/error.h"
#include "spindleweir/drivers/file_tools.h"

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

/// Interval at which a loop records that it is running.
constexpr Millis kTickInterval = 50;
/// Longer gaps between two ticks count as a stall. With a tenth of a core a
/// container gets CPU time in slices that are 90 ms apart.
constexpr Millis kMaxNormalGap = 150;

/// Milliseconds by the clock that libevent's timers use.
Millis TimerNow() {
  timespec now{};
  (void)clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * kMillisPerSecond +
         now.tv_nsec / (kMicrosPerMilli * kMicrosPerMilli);
}

/// Processor time that the calling thread has used.
Millis ThreadTime() {
  timespec used{};
  (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return used.tv_sec * kMillisPerSecond +
         used.tv_nsec / (kMicrosPerMilli * kMicrosPerMilli);
}

/// Time for which this VM was suspended since boot.
Millis TotalSuspendedTime() {
  return SteadyNow() - TimerNow();
}

/// Tolerance, since the two clocks are not read at the same time.
constexpr Millis kClockTolerance = 5;

}  // namespace

/// Owns libevent events that share one callback.
class EventTimer : public Timer {
 public:
  explicit EventTimer(std::function<void()> aCall) : mCall(std::move(aCall)) {}
  ~EventTimer() override {
    for (event* item : mEvents) {
      event_free(item);
    }
    if (mTimers != nullptr) {
      mTimers->erase(mPosition);
    }
  }
  EventTimer(const EventTimer&) = delete;
  EventTimer& operator=(const EventTimer&) = delete;

  void Add(event_base* aBase, int aFd, short aWhat) {
    event* item = event_new(aBase, aFd, aWhat, &EventTimer::Fire, this);
    mEvents.push_back(item);
    event_add(item, nullptr);
  }

  /// Adds a timeout. aInterval: between calls; 0: a single call.
  void AddTimeout(event_base* aBase, std::list<EventTimer*>& aTimers,
                  Millis aDelay, Millis aInterval) {
    const int what = EV_TIMEOUT | (aInterval > 0 ? EV_PERSIST : 0);
    event* item =
        event_new(aBase, -1, static_cast<short>(what), &EventTimer::Fire, this);
    mEvents.push_back(item);
    mInterval = aInterval;
    mDueAt = SteadyNow() + aDelay;
    const timeval tv = ToTimeval(aDelay);
    event_add(item, &tv);
    mTimers = &aTimers;
    mPosition = aTimers.insert(aTimers.end(), this);
  }

  Millis DueAt() const { return mDueAt; }

  /// Waits for the remaining time. A periodic timer fires at once, since
  /// libevent cannot change the time of the next call alone.
  void Rearm(Millis aNow) {
    event* item = mEvents.front();
    if (event_pending(item, EV_TIMEOUT, nullptr) == 0) {
      return;
    }
    if (mInterval > 0 || mDueAt <= aNow) {
      event_active(item, EV_TIMEOUT, 0);
      return;
    }
    const timeval tv = ToTimeval(mDueAt - aNow);
    event_add(item, &tv);
  }

 private:
  static void Fire(evutil_socket_t, short, void* aSelf) {
    auto* self = static_cast<EventTimer*>(aSelf);
    self->mDueAt = SteadyNow() + self->mInterval;
    // The call may destroy the timer, so a copy is called.
    const std::function<void()> call = self->mCall;
    call();
  }

  std::function<void()> mCall;
  std::vector<event*> mEvents;
  Millis mInterval = 0;
  Millis mDueAt = 0;
  std::list<EventTimer*>* mTimers = nullptr;  ///< The loop's list.
  std::list<EventTimer*>::iterator mPosition;
};

namespace {

/// A timer that is rearmed until its loop has been running for the full delay.
class RunningTimer : public Timer {
 public:
  RunningTimer(EventLoop& aLoop, Millis aDelay, std::function<void()> aCall)
      : mLoop(aLoop),
        mCall(std::move(aCall)),
        mDueAt(aLoop.RunningNow() + aDelay) {
    Arm(aDelay);
  }

 private:
  void Arm(Millis aDelay) {
    mTimer = mLoop.After(aDelay, [this] {
      const Millis left = mDueAt - mLoop.RunningNow();
      if (left > 0) {
        Arm(left);
        return;
      }
      // The call may destroy the timer, so a copy is called.
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
    throw Error(ResultCode::kInternal, "libevent cannot create an event loop");
  }
  mPostEvent = event_new(mBase, -1, 0, &EventLoop::RunPosted, this);
  mTickEvent = event_new(mBase, -1, EV_TIMEOUT | EV_PERSIST,
                         &EventLoop::HandleTick, this);
  const timeval period = ToTimeval(kTickInterval);
  event_add(mTickEvent, &period);
  signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
  // Posted calls may own timers of this loop.
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

std::unique_ptr<Timer> EventLoop::Every(Millis aInterval,
                                        std::function<void()> aCall) {
  auto timer = std::make_unique<EventTimer>(std::move(aCall));
  timer->AddTimeout(mBase, mTimers, aInterval, aInterval);
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
  const Millis computed = ThreadTime();
  const LoopWait wait{.mTook = SteadyNow() - self->mLastTickAt,
                      .mInSyncs = TimeInSyncs() - self->mSyncedAtTick,
                      .mComputed = computed - self->mComputedAtTick};
  self->mStalledTime = self->StalledTime();
  self->mLastTickAt = SteadyNow();
  self->mSyncedAtTick = TimeInSyncs();
  self->mComputedAtTick = computed;
  self->RearmTimers();
  if (wait.mTook > kMaxNormalGap && self->mWaitHook) {
    self->mWaitHook(wait);
  }
}

void EventLoop::RearmTimers() {
  const Millis suspended = TotalSuspendedTime();
  if (suspended - mSuspended <= kClockTolerance) {
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
  // libevent restores the previous disposition when the handler is removed. The
  // default one would let a second signal kill the process during its shutdown.
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
