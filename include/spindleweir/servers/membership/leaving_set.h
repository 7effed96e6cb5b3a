/// Who is leaving: the union of every word heard, kept until the VM is seen
/// in a newer incarnation.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// One word that a VM is leaving, as peers pass it on.
struct LeaveNotice {
  std::string mVm;
  std::int64_t mIncarnation = 0;  ///< The one that leaves; 0: not known.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("vm", mVm);
    aCodec.Field("incarnation", mIncarnation);
  }
};

/// The set as one process knows it.
class LeavingSet {
 public:
  /// Takes a word; true where it is news. A word about a VM that is not known
  /// here is left to whoever knows it.
  bool Add(const LeaveNotice& aWord);
  /// The VMs that are known now, by the platform's list or by reports. What is
  /// remembered of others ends after some minutes, so that the words of VMs
  /// that are gone for good do not travel for ever.
  void Retain(const std::set<std::string>& aKnown, Millis aNow);
  /// The VM was seen in this incarnation: older words end.
  void OnSeen(const std::string& aVm, std::int64_t aIncarnation);
  /// The operators' drains of the accepted configuration.
  void SetDrained(const std::vector<std::string>& aVms);

  bool Contains(const std::string& aVm) const;
  std::set<std::string> Vms() const;
  /// The words to pass on to peers; drains go by the configuration.
  std::vector<LeaveNotice> Notices() const;

 private:
  std::map<std::string, std::int64_t> mNotices;  ///< VM to incarnation.
  std::map<std::string, std::int64_t> mSeen;
  std::map<std::string, Millis> mKnownAt;
  std::set<std::string> mDrained;
};

}  // namespace spindleweir
