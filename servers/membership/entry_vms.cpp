#include "spindleweir/servers/membership/entry_vms.h"

#include <algorithm>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

/// One entry of the JSON array.
struct EntryRow {
  std::string mId;
  std::string mRole;
  std::string mZone;
  std::string mAddress;
  std::string mOperator;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("id", mId);
    aCodec.Required("role", mRole);
    aCodec.Required("zone", mZone);
    aCodec.Required("address", mAddress);
    aCodec.Field("operator", mOperator);
  }
};

EntryRole RoleOf(const std::string& aName) {
  if (aName == "router") {
    return EntryRole::kRouter;
  }
  if (aName == "control") {
    return EntryRole::kControl;
  }
  throw Error(ResultCode::kBadEntryVms,
              "role must be router or control, not \"" + aName + "\"");
}

EntryVm FromRow(const EntryRow& aRow) {
  EntryVm vm;
  vm.mId = aRow.mId;
  vm.mRole = RoleOf(aRow.mRole);
  vm.mZone = aRow.mZone;
  vm.mAddress = ParseEndpoint(aRow.mAddress, "address of " + aRow.mId);
  if (!aRow.mOperator.empty()) {
    vm.mOperator = ParseEndpoint(aRow.mOperator, "operator of " + aRow.mId);
  }
  return vm;
}

}  // namespace

EntryVms EntryVms::Parse(std::string_view aText) {
  EntryVms list;
  try {
    const Json::Value rows = ParseJson(aText);
    if (!rows.isArray()) {
      throw Error(ResultCode::kBadEntryVms, "the list must be an array");
    }
    for (const Json::Value& row : rows) {
      EntryVm vm = FromRow(FromJson<EntryRow>(row, true));
      if (list.Find(vm.mId) != nullptr) {
        throw Error(ResultCode::kBadEntryVms,
                    vm.mId + " occurs twice as an id");
      }
      list.mAll.push_back(std::move(vm));
    }
  } catch (const Error& error) {
    throw Error(ResultCode::kBadEntryVms,
                std::string("entry VMs: ") + error.what());
  }
  return list;
}

const EntryVm* EntryVms::Find(const std::string& aId) const {
  const auto it =
      std::find_if(mAll.begin(), mAll.end(),
                   [&aId](const EntryVm& aVm) { return aVm.mId == aId; });
  return it == mAll.end() ? nullptr : &*it;
}

std::vector<EntryVm> EntryVms::OfRole(EntryRole aRole,
                                      const std::string& aZone) const {
  std::vector<EntryVm> list;
  for (const EntryVm& vm : mAll) {
    if (vm.mRole == aRole && (aZone.empty() || vm.mZone == aZone)) {
      list.push_back(vm);
    }
  }
  return list;
}

}  // namespace spindleweir
