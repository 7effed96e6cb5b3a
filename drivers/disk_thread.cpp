#include "spindleweir/drivers/disk_thread.h"

#include <event2/event.h>
#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace spindleweir {

namespace {

/// Starts a thread that receives no signals for the process: they are the event
/// loop's.
std::thread StartWithoutSignals(std::function<void()> aRun) {
  sigset_t blocked;
  sigset_t before;
  sigemptyset(&blocked);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&blocked, signal);
  }
  pthread_sigmask(SIG_BLOCK, &blocked, &before);
  std::thread thread(std::move(aRun));
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  return thread;
}

}  // namespace

DiskThread::DiskThread(EventLoop& aLoop) {
  if (pipe2(mWakePipe, O_NONBLOCK | O_CLOEXEC) != 0) {
    throw Error(ResultCode::kInternal, "cannot create a pipe");
  }
  mWakeEvent = event_new(aLoop.Base(), mWakePipe[0], EV_READ | EV_PERSIST,
                         &DiskThread::OnWake, this);
  event_add(mWakeEvent, nullptr);
  mThread = StartWithoutSignals([this] { Work(); });
}

DiskThread::~DiskThread() {
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mHasWork.notify_one();
  mThread.join();
  event_free(mWakeEvent);
  close(mWakePipe[0]);
  close(mWakePipe[1]);
}

void DiskThread::Run(std::function<void()> aWork,
                     std::function<void(const DiskResult&)> aDone) {
  {
    const std::lock_guard lock(mMutex);
    mWaiting.push_back({.mWork = std::move(aWork), .mDone = std::move(aDone)});
  }
  mHasWork.notify_one();
}

void DiskThread::Work() {
  std::unique_lock lock(mMutex);
  for (;;) {
    mHasWork.wait(lock, [this] { return mStopping || !mWaiting.empty(); });
    if (mStopping) {
      return;
    }
    Job job = std::move(mWaiting.front());
    mWaiting.pop_front();
    lock.unlock();
    const Millis began = SteadyNow();
    try {
      job.mWork();
    } catch (const Error& error) {
      job.mResult.mError = error;
    } catch (const std::exception& error) {
      job.mResult.mError = Error(ResultCode::kInternal, error.what());
    }
    job.mResult.mTook = SteadyNow() - began;
    lock.lock();
    mDone.push_back(std::move(job));
    // A full pipe wakes the loop as well.
    constexpr char kByte = 0;
    [[maybe_unused]] const ssize_t n = write(mWakePipe[1], &kByte, 1);
  }
}

void DiskThread::OnWake(int aFd, short, void* aSelf) {
  std::array<char, 64> bytes;
  while (read(aFd, bytes.data(), bytes.size()) > 0) {
  }
  static_cast<DiskThread*>(aSelf)->ReportDone();
}

void DiskThread::ReportDone() {
  std::deque<Job> done;
  {
    const std::lock_guard lock(mMutex);
    done.swap(mDone);
  }
  for (const Job& job : done) {
    job.mDone(job.mResult);
  }
}

}  // namespace spindleweir
