/// The leaves of upstreams that may be acknowledged: those that are on enough
/// disks of controls.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "spindleweir/core/clock.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// An upstream waits for one second for its acknowledgement, then calls another
/// process. Within this time enough disks have a leave, or it is refused.
inline constexpr Millis kLeaveTimeout = 800;

/// Counts the controls that have one leave on their disk, and decides whether
/// it is acknowledged. More than half of the voters must have it: whoever
/// outlasts the loss of as many disks as the deployment tolerates then restores
/// it.
class LeaveCopies {
 public:
  /// Called once with whether the leave may be acknowledged.
  using DoneHook = std::function<void(bool aIsAcknowledged)>;

  /// aOpen: controls that have not answered yet.
  LeaveCopies(int aOpen, DoneHook aDone)
      : mOpen(aOpen), mDone(std::move(aDone)) {}

  /// One control has it on its disk. aVoters: the number of voters that this
  /// control knows of; 0: unknown.
  void OnStored(int aVoters);
  /// One control does not have it on its disk, or did not answer.
  void OnFailed();
  /// The time is over.
  void Refuse();

 private:
  bool IsEnough() const;
  void Decide(bool aIsAcknowledged);

  int mOpen;
  int mCopies = 0;
  int mVoters = 0;  ///< The greatest number that was stated.
  DoneHook mDone;   ///< Empty once it is decided.
};

/// The leaves that a process has acknowledged. A repeated one is acknowledged
/// without asking the controls again.
class AcknowledgedLeaves {
 public:
  void Add(const std::string& aInstance, std::int64_t aStart) {
    mStarts[aInstance] = aStart;
  }
  bool Contains(const std::string& aInstance, std::int64_t aStart) const;
  /// Removes the upstreams that the registry does not have any more.
  void RemoveUnknown(const UpstreamRegistry& aRegistry);

 private:
  std::map<std::string, std::int64_t> mStarts;  ///< By instance.
};

}  // namespace spindleweir
