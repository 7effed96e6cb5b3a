/// Test fixture: three controls with a disk each, which find each other by
/// seeds, in one event loop.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "spindleweir/daemons/joined_control.h"
#include "tests/daemons/relay_fixture.h"
#include "tests/test_tools.h"

namespace spindleweir {

/// Three controls; those that are stopped are nullptr.
struct ControlGroup {
  static constexpr int kControls = 3;

  /// Starts all of them for the first time, unless aStarts is false.
  explicit ControlGroup(bool aStarts = true);

  std::string Data(int aWhich) const;
  ControlOptions OptionsOf(int aWhich, bool aFirstStart) const;
  void Start(int aWhich, bool aFirstStart);
  void StartAll(bool aFirstStart);
  /// Ends a control at once, as a kill does.
  void Kill(int aWhich) { mControls[static_cast<std::size_t>(aWhich)].reset(); }
  void StopAll();
  JoinedControl& Control(int aWhich) {
    return *mControls[static_cast<std::size_t>(aWhich)];
  }
  /// Whether all controls that run have completed their start.
  bool AllStarted() const;

  /// Calls one control after the other until one of them returns kOk.
  OperatorAnswer CallUntilOk(
      const std::function<void(JoinedControl&, const OperatorDone&)>& aCall);
  OperatorAnswer Publish(const std::string& aDocument);
  OperatorAnswer Read();
  /// What one control answers to a read.
  OperatorAnswer ReadAt(int aWhich);
  void Wait(Millis aTime);

  TemporaryFolder mFolder;
  EventLoop mLoop;
  std::array<Endpoint, kControls> mAddresses;
  std::array<std::unique_ptr<JoinedControl>, kControls> mControls;
};

}  // namespace spindleweir
