#include "spindleweir/servers/configuration/intent_check.h"

#include <algorithm>
#include <set>

#include "spindleweir/core/digest.h"
#include "spindleweir/core/error.h"

namespace spindleweir {

namespace {

constexpr int kMaxLayers = 4096;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMinKeyLength = 8;
constexpr std::size_t kSha256Digits = 64;
constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";

[[noreturn]] void Reject(const std::string& aMessage) {
  throw Error(ResultCode::kBadField, aMessage);
}

void CheckName(const std::string& aName, const std::string& aField,
               std::set<std::string>& aSeen) {
  const bool plain =
      aName.find_first_not_of(kNameCharacters) == std::string::npos;
  if (aName.empty() || aName.size() > kMaxNameLength || !plain) {
    Reject(aField + " name \"" + aName +
           "\" must be 1 to 64 letters, digits or -_.:");
  }
  if (!aSeen.insert(aName).second) {
    Reject(aField + " name \"" + aName + "\" must be unique");
  }
}

void CheckPositive(double aValue, const std::string& aField) {
  if (!(aValue > 0) || aValue > 1e9) {
    Reject(aField + " must be greater than 0 and at most 1e9");
  }
}

void HashKey(WorkspaceSpec& aWorkspace, std::set<std::string>& aKeys) {
  if (!aWorkspace.mKey.empty()) {
    if (aWorkspace.mKey.size() < kMinKeyLength) {
      Reject("workspace " + aWorkspace.mName +
             ": key must have at least 8 characters");
    }
    aWorkspace.mKeySha256 = Sha256Hex(aWorkspace.mKey);
    aWorkspace.mKey.clear();
  }
  const bool digits = aWorkspace.mKeySha256.find_first_not_of(
                          "0123456789abcdef") == std::string::npos;
  if (aWorkspace.mKeySha256.size() != kSha256Digits || !digits) {
    Reject("workspace " + aWorkspace.mName +
           ": key, or key_sha256 of 64 hexadecimal digits, must be given");
  }
  if (!aKeys.insert(aWorkspace.mKeySha256).second) {
    Reject("workspace " + aWorkspace.mName +
           ": key is used by another workspace");
  }
}

void CheckModels(const Intent& aIntent) {
  std::set<std::string> names;
  for (const ModelSpec& model : aIntent.mModels) {
    CheckName(model.mName, "model", names);
    if (model.mLayers < 1 || model.mLayers > kMaxLayers) {
      Reject("model " + model.mName + ": layers must be 1 to 4096");
    }
    if (model.mVersion.empty()) {
      Reject("model " + model.mName + ": version must not be empty");
    }
    CheckPositive(model.mShare, "model " + model.mName + ": share");
  }
}

void CheckReferences(const Intent& aIntent, const WorkspaceSpec& aWorkspace) {
  for (const std::string& name : aWorkspace.mModels) {
    if (FindModel(aIntent, name) == nullptr) {
      Reject("workspace " + aWorkspace.mName + ": unknown model " + name);
    }
  }
  for (const std::string& name : aWorkspace.mServices) {
    if (FindService(aIntent, name) == nullptr) {
      Reject("workspace " + aWorkspace.mName + ": unknown service " + name);
    }
  }
}

}  // namespace

void CheckIntentAndHashKeys(Intent& aIntent) {
  CheckModels(aIntent);
  std::set<std::string> services;
  for (const ServiceSpec& service : aIntent.mServices) {
    CheckName(service.mName, "service", services);
  }
  std::set<std::string> workspaces;
  std::set<std::string> keys;
  for (WorkspaceSpec& workspace : aIntent.mWorkspaces) {
    const std::string what = "workspace " + workspace.mName;
    CheckName(workspace.mName, "workspace", workspaces);
    HashKey(workspace, keys);
    CheckReferences(aIntent, workspace);
    CheckPositive(workspace.mMaximumConcurrent, what + ": max_concurrent");
    CheckPositive(workspace.mRequestsPerSecond, what + ": requests_per_second");
    CheckPositive(workspace.mWeight, what + ": weight");
  }
}

}  // namespace spindleweir
