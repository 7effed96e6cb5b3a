/// Work that waits for the disk, on a thread of its own.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/error.h"
#include "spindleweir/drivers/event_loop.h"

struct event;

namespace spindleweir {

/// How a piece of work ended.
struct DiskResult {
  std::optional<Error> mError;  ///< What it threw; empty: it succeeded.
  Millis mTook = 0;
};

/// Runs work in order, without holding up the event loop. To be used from the
/// loop's thread.
class DiskThread {
 public:
  explicit DiskThread(EventLoop& aLoop);
  /// Waits for the work that is running; what has not begun never does, and
  /// none of it is reported.
  ~DiskThread();
  DiskThread(const DiskThread&) = delete;
  DiskThread& operator=(const DiskThread&) = delete;

  /// Runs aWork on the thread, then aDone in the loop. aWork must use nothing
  /// that the loop's thread uses meanwhile; it may throw an Error.
  void Run(std::function<void()> aWork,
           std::function<void(const DiskResult&)> aDone);

 private:
  struct Job {
    std::function<void()> mWork;
    std::function<void(const DiskResult&)> mDone;
    DiskResult mResult;
  };

  void Work();
  static void OnWake(int aFd, short aWhat, void* aSelf);
  void ReportDone();

  std::mutex mMutex;  ///< Guards the next three.
  std::deque<Job> mWaiting;
  std::deque<Job> mDone;
  bool mStopping = false;
  std::condition_variable mHasWork;
  int mWakePipe[2] = {-1, -1};  ///< The thread writes, the loop reads.
  event* mWakeEvent = nullptr;
  std::thread mThread;
};

}  // namespace spindleweir
