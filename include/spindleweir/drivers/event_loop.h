/// The event loop of a process: libevent's event base with timer objects.
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

/// A time in which an event loop did not run.
struct LoopWait {
  Millis mTook = 0;
  Millis mInSyncs = 0;   ///< Of it, in syncs to disk on the loop's thread.
  Millis mComputed = 0;  ///< Of it, processor time of the loop's thread.
};

/// A timer; destroying it cancels it.
class Timer {
 public:
  virtual ~Timer() = default;
};

/// The event loop of one thread. All code of a daemon runs in its callbacks.
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
  /// Same, but measured by RunningNow(): messages that arrived while the loop
  /// was stalled are read before the wait for them ends.
  std::unique_ptr<Timer> AfterRunning(Millis aDelay,
                                      std::function<void()> aCall);
  /// Calls aCall every aInterval milliseconds.
  std::unique_ptr<Timer> Every(Millis aInterval, std::function<void()> aCall);
  /// Calls aCall in the next iteration of the loop; it cannot be cancelled.
  void Post(std::function<void()> aCall);
  /// Calls aCall on SIGTERM and SIGINT.
  std::unique_ptr<Timer> OnStopSignal(std::function<void()> aCall);
  /// Ignores SIGHUP until OnReloadSignal(), so that it doesn't end a process
  /// that is about to read its settings anyway. To be called first in main().
  static void IgnoreReloadSignal();
  /// Calls aCall on SIGHUP.
  std::unique_ptr<Timer> OnReloadSignal(std::function<void()> aCall);

  /// Total milliseconds in which this loop was unable to run: the process was
  /// stopped, got no CPU time, or a callback blocked. Messages that arrived
  /// meanwhile are still unread, so a wait that ends right afterwards doesn't
  /// mean that the peer was silent.
  Millis StalledTime() const;
  /// SteadyNow() without StalledTime(): by this clock nothing expires that
  /// could not have been renewed.
  Millis RunningNow() const { return SteadyNow() - StalledTime(); }
  /// Calls aHook after each wait that counts in StalledTime().
  void SetWaitHook(std::function<void(const LoopWait&)> aHook) {
    mWaitHook = std::move(aHook);
  }

 private:
  static void RunPosted(int aFd, short aWhat, void* aSelf);

  static void HandleTick(int aFd, short aWhat, void* aSelf);
  /// Rearms all timers if the VM was suspended: libevent's clock doesn't
  /// include that time, so each timer would fire late by it.
  void RearmTimers();

  event_base* mBase;
  event* mPostEvent;
  event* mTickEvent;
  Millis mLastTickAt;          ///< By SteadyNow(); the loop last ran then.
  Millis mSyncedAtTick = 0;    ///< TimeInSyncs() at mLastTickAt.
  Millis mComputedAtTick = 0;  ///< The thread's processor time then.
  std::function<void(const LoopWait&)> mWaitHook;
  Millis mStalledTime = 0;
  Millis mSuspended = 0;           ///< Total that the timers account for.
  std::list<EventTimer*> mTimers;  ///< All pending timeouts.
  std::vector<std::function<void()>> mPosted;
};

}  // namespace spindleweir
