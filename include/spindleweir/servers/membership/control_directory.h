/// Which control processes there are, learned from seeds and from each other.
/// The id of a control process names the address and the disk that it began
/// with: "IP:PORT#DISK". One that lost its disk comes back as another.
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
  Millis mLastSeenAgo = 0;  ///< When sent.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Sparse("id", mId);
    aCodec.Sparse("zone", mZone);
    aCodec.Sparse("operator", mOperator);
    aCodec.Sparse("heard_ago_ms", mLastSeenAgo);
  }
};

/// The id of a control at an address with the name of its disk, and back.
std::string ControlId(const Endpoint& aAddress, const std::string& aDisk);
/// Throws kBadField for an id of another form.
Endpoint AddressOfControl(const std::string& aId);

/// What one process knows. The time comes with each call.
class ControlDirectory {
 public:
  /// Sets the addresses that are asked whoever answers there.
  void SetSeeds(std::vector<Endpoint> aSeeds);
  /// A control was heard, or heard of.
  void OnSeen(const ControlInfo& aInfo, Millis aNow);
  /// The addresses to ask: seeds and all that were heard of lately.
  std::vector<Endpoint> Addresses(Millis aNow) const;
  /// Those heard of within aWithin.
  std::vector<ControlInfo> SeenWithin(Millis aWithin, Millis aNow) const;
  const ControlInfo* Find(const std::string& aId) const;
  /// The zone of who was heard last at an address; empty: not known.
  std::string ZoneAt(const Endpoint& aAddress) const;
  /// Milliseconds since a control was heard of; -1: never.
  Millis TimeSinceSeen(const std::string& aId, Millis aNow) const;
  /// Whether another control answers at the address of this one.
  bool IsReplaced(const std::string& aId) const;

 private:
  struct Item {
    ControlInfo mInfo;
    Endpoint mAddress;  ///< Read from the id once.
    Millis mLastSeenAt = 0;
  };

  std::vector<Endpoint> mSeeds;
  std::map<std::string, Item> mItems;
};

}  // namespace spindleweir
