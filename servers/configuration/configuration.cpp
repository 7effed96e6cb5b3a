#include "spindleweir/servers/configuration/configuration.h"

#include <algorithm>

namespace spindleweir {

namespace {

template <class Spec>
const Spec* FindByName(const std::vector<Spec>& aSpecs,
                       const std::string& aName) {
  const auto it = std::find_if(
      aSpecs.begin(), aSpecs.end(),
      [&aName](const Spec& aSpec) { return aSpec.mName == aName; });
  return it == aSpecs.end() ? nullptr : &*it;
}

}  // namespace

const WorkspaceSpec* FindWorkspaceByKey(const Intent& aIntent,
                                        const std::string& aKeySha256) {
  for (const WorkspaceSpec& workspace : aIntent.mWorkspaces) {
    if (workspace.mKeySha256 == aKeySha256) {
      return &workspace;
    }
  }
  return nullptr;
}

const ModelSpec* FindModel(const Intent& aIntent, const std::string& aName) {
  return FindByName(aIntent.mModels, aName);
}

const ServiceSpec* FindService(const Intent& aIntent,
                               const std::string& aName) {
  return FindByName(aIntent.mServices, aName);
}

bool Allows(const std::vector<std::string>& aList, const std::string& aName) {
  return aList.empty() ||
         std::find(aList.begin(), aList.end(), aName) != aList.end();
}

}  // namespace spindleweir
