#include "spindleweir/servers/configuration/configuration_change.h"

#include <algorithm>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

const std::string& KeyOf(const WorkspaceSpec& aItem) {
  return aItem.mName;
}
const std::string& KeyOf(const ModelSpec& aItem) {
  return aItem.mName;
}
const std::string& KeyOf(const ServiceSpec& aItem) {
  return aItem.mName;
}
const std::string& KeyOf(const StagePlacement& aItem) {
  return aItem.mEngine;
}
const std::string& KeyOf(const std::string& aItem) {
  return aItem;
}

template <class Item>
bool Equal(const Item& aLeft, const Item& aRight) {
  return ToJson(aLeft) == ToJson(aRight);
}
bool Equal(const StagePlacement& aLeft, const StagePlacement& aRight) {
  return aLeft == aRight;
}
bool Equal(const std::string& aLeft, const std::string& aRight) {
  return aLeft == aRight;
}

template <class Item>
void SortByKey(std::vector<Item>& aList) {
  std::sort(aList.begin(), aList.end(),
            [](const Item& aLeft, const Item& aRight) {
              return KeyOf(aLeft) < KeyOf(aRight);
            });
}

template <class Item>
typename std::vector<Item>::const_iterator Find(const std::vector<Item>& aList,
                                                const std::string& aKey) {
  return std::lower_bound(aList.begin(), aList.end(), aKey,
                          [](const Item& aItem, const std::string& aWanted) {
                            return KeyOf(aItem) < aWanted;
                          });
}

/// Collects the items of aNew that are new or changed, and the keys of items
/// that aNew lacks. Both lists must be sorted.
template <class Item>
void Compare(const std::vector<Item>& aOld, const std::vector<Item>& aNew,
             std::vector<Item>& aChanged, std::vector<std::string>& aGone) {
  for (const Item& item : aNew) {
    const auto it = Find(aOld, KeyOf(item));
    const bool isKnown = it != aOld.end() && KeyOf(*it) == KeyOf(item);
    if (!isKnown || !Equal(*it, item)) {
      aChanged.push_back(item);
    }
  }
  for (const Item& item : aOld) {
    const auto it = Find(aNew, KeyOf(item));
    if (it == aNew.end() || KeyOf(*it) != KeyOf(item)) {
      aGone.push_back(KeyOf(item));
    }
  }
}

template <class Item>
void Merge(std::vector<Item>& aList, const std::vector<Item>& aChanged,
           const std::vector<std::string>& aGone) {
  for (const std::string& key : aGone) {
    const auto it = Find(aList, key);
    if (it != aList.end() && KeyOf(*it) == key) {
      aList.erase(it);
    }
  }
  for (const Item& item : aChanged) {
    const auto it = Find(aList, KeyOf(item));
    if (it != aList.end() && KeyOf(*it) == KeyOf(item)) {
      aList[static_cast<std::size_t>(it - aList.cbegin())] = item;
    } else {
      aList.insert(it, item);
    }
  }
}

}  // namespace

void SortLists(Configuration& aConfiguration) {
  SortByKey(aConfiguration.mIntent.mWorkspaces);
  SortByKey(aConfiguration.mIntent.mModels);
  SortByKey(aConfiguration.mIntent.mServices);
  SortByKey(aConfiguration.mPlacement);
  SortByKey(aConfiguration.mDrained);
}

std::string ChangeHash(const ConfigurationChange& aChange) {
  ConfigurationChange copy = aChange;
  copy.mHash.clear();
  return Sha256Hex(DumpJson(ToJson(copy)));
}

ConfigurationChange ChangeBetween(const Configuration& aOld,
                                  const Configuration& aNew) {
  ConfigurationChange change;
  change.mVersion = aOld.mVersion + 1;
  change.mPreviousHash = aOld.mHash;
  Compare(aOld.mIntent.mWorkspaces, aNew.mIntent.mWorkspaces,
          change.mWorkspaces, change.mWorkspacesGone);
  Compare(aOld.mIntent.mModels, aNew.mIntent.mModels, change.mModels,
          change.mModelsGone);
  Compare(aOld.mIntent.mServices, aNew.mIntent.mServices, change.mServices,
          change.mServicesGone);
  Compare(aOld.mPlacement, aNew.mPlacement, change.mStages, change.mStagesGone);
  Compare(aOld.mDrained, aNew.mDrained, change.mDrained, change.mUndrained);
  change.mHash = ChangeHash(change);
  return change;
}

void ApplyChange(Configuration& aConfiguration,
                 const ConfigurationChange& aChange) {
  if (aChange.mVersion != aConfiguration.mVersion + 1 ||
      aChange.mPreviousHash != aConfiguration.mHash) {
    throw Error(ResultCode::kVersionConflict,
                "the change to version " + std::to_string(aChange.mVersion) +
                    " does not follow version " +
                    std::to_string(aConfiguration.mVersion));
  }
  if (ChangeHash(aChange) != aChange.mHash) {
    throw Error(ResultCode::kVersionConflict,
                "the change to version " + std::to_string(aChange.mVersion) +
                    " does not match its hash");
  }
  Intent& intent = aConfiguration.mIntent;
  Merge(intent.mWorkspaces, aChange.mWorkspaces, aChange.mWorkspacesGone);
  Merge(intent.mModels, aChange.mModels, aChange.mModelsGone);
  Merge(intent.mServices, aChange.mServices, aChange.mServicesGone);
  Merge(aConfiguration.mPlacement, aChange.mStages, aChange.mStagesGone);
  Merge(aConfiguration.mDrained, aChange.mDrained, aChange.mUndrained);
  aConfiguration.mVersion = aChange.mVersion;
  aConfiguration.mPreviousHash = aChange.mPreviousHash;
  aConfiguration.mHash = aChange.mHash;
}

}  // namespace spindleweir
