/// Test fixture: five controls with a disk each, which find each other by
/// seeds, each in a thread of its own: one that stands still does not hold up
/// the others.
#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "spindleweir/daemons/joined_control.h"
#include "tests/test_tools.h"

namespace spindleweir {

/// A control in a thread and an event loop of its own.
class ControlThread {
 public:
  using Call = std::function<void(JoinedControl&, const OperatorDone&)>;

  explicit ControlThread(ControlOptions aOptions);
  /// As a kill: the control goes as soon as its loop runs.
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  /// Begins an operator's call in the control's thread.
  std::future<OperatorAnswer> Ask(Call aCall);
  /// Asks the loop to end, without a wait for it.
  void BeginKill() { mStop = true; }

 private:
  void Run();
  void RunCalls(JoinedControl& aControl);

  const ControlOptions mOptions;
  std::atomic<bool> mStop{false};
  std::mutex mMutex;
  std::vector<std::function<void(JoinedControl&)>> mCalls;
  std::thread mThread;
};

/// Five controls, and an operator who runs in the test's thread.
struct ControlThreads {
  static constexpr int kControls = 5;

  /// Starts all of them for the first time.
  ControlThreads();
  ~ControlThreads();
  ControlThreads(const ControlThreads&) = delete;
  ControlThreads& operator=(const ControlThreads&) = delete;

  std::string Data(int aWhich) const;
  void StartAll(bool aFirstStart);
  void KillAll();

  /// Sends a document, at once again where it is refused; the time until it
  /// was acknowledged, if that was within aLongest.
  std::optional<Millis> Publish(const std::string& aDocument, Millis aLongest);
  /// Reads at all controls, with a pause after each answer; the first document
  /// that came, if that was within aLongest.
  std::optional<std::string> Read(Millis aLongest);

  TemporaryFolder mFolder;
  std::array<Endpoint, kControls> mAddresses;
  std::array<std::unique_ptr<ControlThread>, kControls> mControls;

 private:
  ControlOptions OptionsOf(int aWhich, bool aFirstStart) const;
  /// Whom an operator asks after this answer of a control.
  int Next(int aWhich, const OperatorAnswer& aAnswer) const;

  int mAsked = 0;  ///< Who was sent the last document.
};

}  // namespace spindleweir
