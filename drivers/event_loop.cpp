#include "spindleweir/drivers/event_loop.h"

#include <event2/event.h>
#include <signal.h>

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
constexpr Millis kBeatPeriod = 50;
/// A gap between two notes up to this is ordinary work: on a tenth of a core
/// a container gets the processor in slices that are 90 ms apart.
constexpr Millis kOrdinaryGap = 150;

/// Owns libevent events that call one function.
class EventTimer : public Timer {
 public:
  explicit EventTimer(std::function<void()> aCall) : mCall(std::move(aCall)) {}
  ~EventTimer() override {
    for (event* item : mEvents) {
      event_free(item);
    }
  }
  EventTimer(const EventTimer&) = delete;
  EventTimer& operator=(const EventTimer&) = delete;

  void Add(event_base* aBase, int aFd, short aWhat, const timeval* aDelay) {
    event* item = event_new(aBase, aFd, aWhat, &EventTimer::Fire, this);
    mEvents.push_back(item);
    event_add(item, aDelay);
  }

 private:
  static void Fire(evutil_socket_t, short, void* aSelf) {
    // The call may destroy the timer, so that it runs from a copy.
    const std::function<void()> call = static_cast<EventTimer*>(aSelf)->mCall;
    call();
  }

  std::function<void()> mCall;
  std::vector<event*> mEvents;
};

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

EventLoop::EventLoop() : mBase(event_base_new()), mBeatAt(SteadyNow()) {
  if (mBase == nullptr) {
    throw Error(ResultCode::kInternal, "no event loop to be had");
  }
  mPostEvent = event_new(mBase, -1, 0, &EventLoop::RunPosted, this);
  mBeatEvent =
      event_new(mBase, -1, EV_TIMEOUT | EV_PERSIST, &EventLoop::Beat, this);
  const timeval period = ToTimeval(kBeatPeriod);
  event_add(mBeatEvent, &period);
  signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() {
  // What was posted may own timers of this loop.
  mPosted.clear();
  event_free(mBeatEvent);
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
  const timeval tv = ToTimeval(aDelay);
  timer->Add(mBase, -1, EV_TIMEOUT, &tv);
  return timer;
}

std::unique_ptr<Timer> EventLoop::AfterRunning(Millis aDelay,
                                               std::function<void()> aCall) {
  return std::make_unique<RunningTimer>(*this, aDelay, std::move(aCall));
}

std::unique_ptr<Timer> EventLoop::Every(Millis aPeriod,
                                        std::function<void()> aCall) {
  auto timer = std::make_unique<EventTimer>(std::move(aCall));
  const timeval tv = ToTimeval(aPeriod);
  timer->Add(mBase, -1, EV_TIMEOUT | EV_PERSIST, &tv);
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

void EventLoop::Beat(int, short, void* aSelf) {
  auto* self = static_cast<EventLoop*>(aSelf);
  self->mStoodStill = self->StoodStill();
  self->mBeatAt = SteadyNow();
}

Millis EventLoop::StoodStill() const {
  const Millis gap = SteadyNow() - mBeatAt;
  return mStoodStill + (gap > kOrdinaryGap ? gap - kBeatPeriod : 0);
}

std::unique_ptr<Timer> EventLoop::OnStopSignal(std::function<void()> aCall) {
  auto timer = std::make_unique<EventTimer>(std::move(aCall));
  timer->Add(mBase, SIGTERM, EV_SIGNAL | EV_PERSIST, nullptr);
  timer->Add(mBase, SIGINT, EV_SIGNAL | EV_PERSIST, nullptr);
  return timer;
}

std::unique_ptr<Timer> EventLoop::OnReloadSignal(std::function<void()> aCall) {
  auto timer = std::make_unique<EventTimer>(std::move(aCall));
  timer->Add(mBase, SIGHUP, EV_SIGNAL | EV_PERSIST, nullptr);
  return timer;
}

}  // namespace spindleweir
