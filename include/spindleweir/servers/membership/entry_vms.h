/// The entry VMs of a deployment: the list that each process is started with.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/settings.h"

namespace spindleweir {

enum class EntryRole { kRouter, kControl };

/// One entry VM: a router or a control process.
struct EntryVm {
  std::string mId;
  EntryRole mRole = EntryRole::kRouter;
  std::string mZone;
  Endpoint mAddress;   ///< Listens for calls of routers and controls.
  Endpoint mOperator;  ///< Controls only: listens for operators.
};

/// The list of entry VMs. In its JSON file it is an array of
/// {"id", "role": "router"|"control", "zone", "address", "operator"}.
class EntryVms {
 public:
  /// Parses the JSON text. Throws kBadEntryVms if it is malformed, a field is
  /// missing, unknown or invalid, or an id occurs twice.
  static EntryVms Parse(std::string_view aText);

  const std::vector<EntryVm>& All() const { return mAll; }
  const EntryVm* Find(const std::string& aId) const;
  /// The entry VMs with a role; only those of aZone if it is not empty.
  std::vector<EntryVm> OfRole(EntryRole aRole,
                              const std::string& aZone = "") const;

 private:
  std::vector<EntryVm> mAll;
};

}  // namespace spindleweir
