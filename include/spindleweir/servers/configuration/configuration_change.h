/// What changed from one accepted configuration to the next: at full size the
/// whole is 1.3 MB, a change a few hundred bytes.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "spindleweir/servers/configuration/configuration.h"

namespace spindleweir {

/// The difference between a version and the one before.
struct ConfigurationChange {
  std::int64_t mVersion = 0;  ///< That it leads to; from the one before.
  std::string mPreviousHash;
  std::string mHash;  ///< ChangeHash(change): chained by mPreviousHash.
  std::vector<WorkspaceSpec> mWorkspaces;  ///< New or changed.
  std::vector<std::string> mWorkspacesGone;
  std::vector<ModelSpec> mModels;
  std::vector<std::string> mModelsGone;
  std::vector<ServiceSpec> mServices;
  std::vector<std::string> mServicesGone;
  std::vector<StagePlacement> mStages;
  std::vector<std::string> mStagesGone;  ///< Engines without a stage now.
  std::vector<std::string> mDrained;     ///< VMs drained now.
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
/// and hash. Both must be in order (see SortLists).
ConfigurationChange ChangeBetween(const Configuration& aOld,
                                  const Configuration& aNew);

/// Puts a change on top of the version before it. Throws kVersionConflict
/// where it does not follow, or its hash is not its own.
void ApplyChange(Configuration& aConfiguration,
                 const ConfigurationChange& aChange);

/// The hash that a change must carry.
std::string ChangeHash(const ConfigurationChange& aChange);

/// Brings the lists of a configuration into the order that all processes keep.
void SortLists(Configuration& aConfiguration);

}  // namespace spindleweir
