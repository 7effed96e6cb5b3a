/// Which VMs are leaving: the union of all notices received. A notice stays
/// until its VM is seen in a newer incarnation.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// Says that a VM is leaving; peers forward it.
struct LeaveNotice {
  std::string mVm;
  std::int64_t mIncarnation = 0;  ///< The one that leaves; 0: unknown.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("vm", mVm);
    aCodec.Field("incarnation", mIncarnation);
  }
};

/// The leaving VMs that one process knows. The caller passes the time in.
class LeavingSet {
 public:
  /// Adds a notice. Returns whether it was new. A notice about a VM that is not
  /// known here is ignored; processes that know the VM store it.
  bool Add(const LeaveNotice& aNotice);
  /// Sets the VMs that are known now, from the platform's list or from reports.
  /// Notices of VMs that have not been known for ten minutes are removed, so
  /// that peers do not forward them to each other for ever.
  void Retain(const std::set<std::string>& aKnown, Millis aNow);
  /// The VM was seen in this incarnation: removes notices of older ones.
  void OnSeen(const std::string& aVm, std::int64_t aIncarnation);
  /// Sets the VMs that the accepted configuration drains.
  void SetDrained(const std::vector<std::string>& aVms);

  bool Contains(const std::string& aVm) const;
  std::set<std::string> Vms() const;
  /// The notices to forward to peers. Drains are left out: peers get them with
  /// the configuration.
  std::vector<LeaveNotice> Notices() const;

 private:
  std::map<std::string, std::int64_t> mNotices;       ///< VM to incarnation.
  std::map<std::string, std::int64_t> mIncarnations;  ///< Newest one seen.
  std::map<std::string, Millis> mLastKnownAt;
  std::set<std::string> mDrained;
};

}  // namespace spindleweir
