/// Which control processes exist, learned from seeds and from each other. The
/// id of a control process names its address and its disk: "IP:PORT#DISK". A
/// process that lost its disk comes back with another id.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/settings.h"

namespace spindleweir {

/// One control process.
struct ControlInfo {
  std::string mId;
  std::string mZone;
  std::string mOperator;    ///< "IP:PORT" for operators.
  Millis mLastSeenAgo = 0;  ///< At the time of sending.
  /// Was asked to end; counts only in what the control says of itself.
  bool mIsStopping = false;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Sparse("id", mId);
    aCodec.Sparse("zone", mZone);
    aCodec.Sparse("operator", mOperator);
    aCodec.Sparse("heard_ago_ms", mLastSeenAgo);
    aCodec.Sparse("stopping", mIsStopping);
  }
};

/// The id of a control at an address with the name of its disk.
std::string ControlId(const Endpoint& aAddress, const std::string& aDisk);
/// The address in the id of a control. Throws kBadField if the id has no '#',
/// and whatever ParseEndpoint throws.
Endpoint AddressOfControl(const std::string& aId);

/// The control processes that one process knows. The caller passes the time in.
class ControlDirectory {
 public:
  /// Sets the addresses that are always polled.
  void SetSeeds(std::vector<Endpoint> aSeeds);
  /// Sets the voters of the replicated log, by their ids. Their addresses are
  /// always polled too: after a restart the seeds may all be gone.
  void SetVoters(const std::vector<std::string>& aIds);
  /// A control said this of itself.
  void OnSeen(const ControlInfo& aInfo, Millis aNow);
  /// Another process reported a control.
  void OnReported(const ControlInfo& aInfo, Millis aNow);
  /// The addresses to poll: seeds, voters, and all controls seen recently.
  std::vector<Endpoint> Addresses(Millis aNow) const;
  /// The controls seen within aWindow.
  std::vector<ControlInfo> SeenWithin(Millis aWindow, Millis aNow) const;
  const ControlInfo* Find(const std::string& aId) const;
  /// The zone of the control seen last at an address; empty: not known.
  std::string ZoneAt(const Endpoint& aAddress) const;
  /// Milliseconds since a control was last seen; -1: never.
  Millis TimeSinceSeen(const std::string& aId, Millis aNow) const;
  /// Whether a control said last that it was asked to end.
  bool IsStopping(const std::string& aId) const;
  /// Whether another control was seen later at the address of this one.
  bool IsReplaced(const std::string& aId) const;

 private:
  struct Item {
    ControlInfo mInfo;
    Endpoint mAddress;  ///< Parsed from the id once.
    Millis mLastSeenAt = 0;
  };

  std::vector<Endpoint> mSeeds;
  std::vector<Endpoint> mVoters;
  std::map<std::string, Item> mItems;
};

}  // namespace spindleweir
