/// When a control sends the list of controls to a process that polls it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/membership/control_directory.h"

namespace spindleweir {

/// A process that polls, as it names itself.
struct ListPoller {
  std::string mProcess;
  bool mIsControl = false;
  bool mIsFirst = false;  ///< It knows nothing of this control's incarnation.
};

struct ControlListOptions {
  /// An unchanged list is sent again after this time, since it also says when
  /// each control was last seen.
  Millis mControlInterval = 1000;
  Millis mRouterInterval = 5000;
  /// A process that has not polled for this time is forgotten.
  Millis mRetention = 30000;
};

/// Decides which answers hold the list. It grows with the controls, and would
/// be the greatest part of an answer that brings nothing new. Takes the time
/// with each call.
class ControlListSchedule {
 public:
  explicit ControlListSchedule(ControlListOptions aOptions)
      : mOptions(aOptions) {}

  /// Whether aPoller is due for aList: at its first poll, when the controls in
  /// the list have changed, and after the interval. True counts as sent.
  bool IsDue(const ListPoller& aPoller, const std::vector<ControlInfo>& aList,
             Millis aNow);
  std::size_t Pollers() const { return mSent.size(); }

 private:
  struct Sent {
    Millis mAt = 0;
    std::uint64_t mDigest = 0;  ///< Of the ids in the list.
    Millis mPolledAt = 0;
  };

  void ForgetSilent(Millis aNow);

  ControlListOptions mOptions;
  std::map<std::string, Sent> mSent;  ///< By process.
  Millis mCheckedAt = 0;              ///< For silent pollers.
};

}  // namespace spindleweir
