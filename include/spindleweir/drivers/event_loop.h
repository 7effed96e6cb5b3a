/// The event loop of a process: libevent's base with timers as objects.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <vector>

#include "spindleweir/core/clock.h"

struct event;
struct event_base;

namespace spindleweir {

class EventTimer;

/// A timer; destroying it cancels it.
class Timer {
 public:
  virtual ~Timer() = default;
};

/// One thread's event loop. Everything of a daemon runs in its callbacks.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  event_base* Base() const { return mBase; }

  /// Runs until Stop().
  void Run();
  void Stop();

  /// Calls aCall once after aDelay milliseconds.
  std::unique_ptr<Timer> After(Millis aDelay, std::function<void()> aCall);
  /// The same, by RunningNow(): what came while the loop stood still is read
  /// before a wait for it ends.
  std::unique_ptr<Timer> AfterRunning(Millis aDelay,
                                      std::function<void()> aCall);
  /// Calls aCall every aPeriod milliseconds.
  std::unique_ptr<Timer> Every(Millis aPeriod, std::function<void()> aCall);
  /// Calls aCall in the next turn of the loop; it cannot be cancelled.
  void Post(std::function<void()> aCall);
  /// Calls aCall at SIGTERM and at SIGINT.
  std::unique_ptr<Timer> OnStopSignal(std::function<void()> aCall);
  /// SIGHUP ends no process that is about to read its settings: what it asks
  /// for is done by that. Before anything else; OnReloadSignal() ends it.
  static void IgnoreReloadSignal();
  /// Calls aCall at SIGHUP.
  std::unique_ptr<Timer> OnReloadSignal(std::function<void()> aCall);

  /// Milliseconds in which this loop should have run and did not, since it was
  /// made: the process was stopped, got no processor, or a call took so long.
  /// What others said meanwhile is still unread after it: a wait that ends
  /// then is no silence of theirs.
  Millis StalledTime() const;
  /// SteadyNow() without the time in which the loop stood still: by this clock
  /// nothing grows old that could not have been renewed.
  Millis RunningNow() const { return SteadyNow() - StalledTime(); }

 private:
  static void RunPosted(int aFd, short aWhat, void* aSelf);

  static void HandleTick(int aFd, short aWhat, void* aSelf);
  /// Sets all timers anew where the VM was suspended: libevent's clock does not
  /// count that time, and each would be as much too late.
  void RearmTimers();

  event_base* mBase;
  event* mPostEvent;
  event* mTickEvent;
  Millis mLastTickAt;  ///< Steady; when the loop was last seen to run.
  Millis mStalledTime = 0;
  Millis mSuspended = 0;           ///< In all, as the timers are set.
  std::list<EventTimer*> mTimers;  ///< Those that wait for a time.
  std::vector<std::function<void()>> mPosted;
};

}  // namespace spindleweir
