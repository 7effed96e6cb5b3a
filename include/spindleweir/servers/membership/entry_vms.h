/// The entry VMs of a deployment: the list that every process is set up with.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/settings.h"

namespace spindleweir {

enum class EntryRole { kRouter, kControl };

/// One process of ours.
struct EntryVm {
  std::string mId;
  EntryRole mRole = EntryRole::kRouter;
  std::string mZone;
  Endpoint mAddress;   ///< Where it takes calls of our processes.
  Endpoint mOperator;  ///< Controls: where it takes operators' requests.
};

/// The list, as it stands in a JSON file: an array of
/// {"id", "role": "router"|"control", "zone", "address", "operator"}.
class EntryVms {
 public:
  /// Reads the list; throws kBadEntryVms.
  static EntryVms Parse(std::string_view aText);

  const std::vector<EntryVm>& All() const { return mAll; }
  const EntryVm* Find(const std::string& aId) const;
  /// All of a role; of one zone where aZone is not empty.
  std::vector<EntryVm> OfRole(EntryRole aRole,
                              const std::string& aZone = "") const;

 private:
  std::vector<EntryVm> mAll;
};

}  // namespace spindleweir
