/// The change from one accepted configuration to the next. At full size a
/// configuration is 1.3 MB, a change a few hundred bytes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "spindleweir/servers/configuration/configuration.h"

namespace spindleweir {

/// The difference between a version and the previous one.
struct ConfigurationChange {
  std::int64_t mVersion = 0;  ///< Version after the change.
  std::string mPreviousHash;
  std::string mHash;  ///< ChangeHash() of this change; covers mPreviousHash.
  std::vector<WorkspaceSpec> mWorkspaces;  ///< New or changed.
  std::vector<std::string> mWorkspacesGone;
  std::vector<ModelSpec> mModels;
  std::vector<std::string> mModelsGone;
  std::vector<ServiceSpec> mServices;
  std::vector<std::string> mServicesGone;
  std::vector<StagePlacement> mStages;
  std::vector<std::string> mStagesGone;  ///< Engines that lost their stage.
  std::vector<std::string> mDrained;     ///< VMs that are newly drained.
  std::vector<std::string> mUndrained;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("version", mVersion);
    aCodec.Required("previous_hash", mPreviousHash);
    aCodec.Required("hash", mHash);
    aCodec.Field("workspaces", mWorkspaces);
    aCodec.Field("workspaces_gone", mWorkspacesGone);
    aCodec.Field("models", mModels);
    aCodec.Field("models_gone", mModelsGone);
    aCodec.Field("services", mServices);
    aCodec.Field("services_gone", mServicesGone);
    aCodec.Field("stages", mStages);
    aCodec.Field("stages_gone", mStagesGone);
    aCodec.Field("drained", mDrained);
    aCodec.Field("undrained", mUndrained);
  }
};

/// The change that leads from aOld to the content of aNew, with its version
/// and hash. The lists of both must be sorted (see SortLists).
ConfigurationChange ChangeBetween(const Configuration& aOld,
                                  const Configuration& aNew);

/// Applies a change to the version before it. Throws kVersionConflict if the
/// change does not follow that version or its hash does not match.
void ApplyChange(Configuration& aConfiguration,
                 const ConfigurationChange& aChange);

/// SHA-256 of a change without its own hash, in hexadecimal digits.
std::string ChangeHash(const ConfigurationChange& aChange);

/// Sorts the lists of a configuration by name, so that all processes have the
/// same order.
void SortLists(Configuration& aConfiguration);

}  // namespace spindleweir
