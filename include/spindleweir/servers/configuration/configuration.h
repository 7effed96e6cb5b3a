/// Intents of operators, the plans made from them, and the chain of accepted
/// configurations.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// A workspace: a customer with a key, rights and limits.
struct WorkspaceSpec {
  std::string mName;
  std::string mKey;                    ///< Only in an intent; never stored.
  std::string mKeySha256;              ///< 64 hexadecimal digits.
  std::vector<std::string> mModels;    ///< Names; empty: all.
  std::vector<std::string> mServices;  ///< Names; empty: all.
  std::vector<std::string> mZones;  ///< Zones allowed for its data; empty: all.
  std::vector<std::string> mHardware;  ///< Accelerator kinds; empty: all.
  int mMaximumConcurrent = 256;        ///< Requests in flight over all routers.
  double mRequestsPerSecond = 1000;    ///< Rate limit.
  double mWeight = 1;                  ///< Share under overload.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("name", mName);
    aCodec.Field("key", mKey);
    aCodec.Field("key_sha256", mKeySha256);
    aCodec.Restriction("models", mModels);
    aCodec.Restriction("services", mServices);
    aCodec.Restriction("zones", mZones);
    aCodec.Restriction("hardware", mHardware);
    aCodec.Field("max_concurrent", mMaximumConcurrent);
    aCodec.Field("requests_per_second", mRequestsPerSecond);
    aCodec.Field("weight", mWeight);
  }
};

/// A model: its layers, and the zones and hardware that may run it.
struct ModelSpec {
  std::string mName;
  std::string mVersion = "1";
  int mLayers = 0;
  std::vector<std::string> mZones;     ///< Empty: all.
  std::vector<std::string> mHardware;  ///< Empty: all.
  double mShare = 1;  ///< Share of each zone's engines among the models.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("name", mName);
    aCodec.Field("version", mVersion);
    aCodec.Required("layers", mLayers);
    aCodec.Restriction("zones", mZones);
    aCodec.Restriction("hardware", mHardware);
    aCodec.Field("share", mShare);
  }
};

/// A plain service, without engines.
struct ServiceSpec {
  std::string mName;
  bool mRepeatable = false;         ///< Whether a call may run twice.
  std::vector<std::string> mZones;  ///< Empty: all.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("name", mName);
    aCodec.Field("repeatable", mRepeatable);
    aCodec.Restriction("zones", mZones);
  }
};

/// A placement intent: the complete state that operators request.
struct Intent {
  std::vector<WorkspaceSpec> mWorkspaces;
  std::vector<ModelSpec> mModels;
  std::vector<ServiceSpec> mServices;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("workspaces", mWorkspaces);
    aCodec.Field("models", mModels);
    aCodec.Field("services", mServices);
  }
};

/// Layers [mFirst, mLast) of a model on one engine.
struct StagePlacement {
  std::string mEngine;
  std::string mZone;
  std::string mModel;
  std::string mVersion;
  int mFirst = 0;
  int mLast = 0;

  bool operator==(const StagePlacement&) const = default;
  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("engine", mEngine);
    aCodec.Required("zone", mZone);
    aCodec.Required("model", mModel);
    aCodec.Field("version", mVersion);
    aCodec.Required("first", mFirst);
    aCodec.Required("last", mLast);
  }
};

/// One accepted configuration version.
struct Configuration {
  std::int64_t mVersion = 0;
  std::string mHash;          ///< Of the change that led to this version.
  std::string mPreviousHash;  ///< The hash of the version before.
  Intent mIntent;
  std::vector<StagePlacement> mPlacement;
  std::vector<std::string> mDrained;  ///< VMs drained by operators.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("version", mVersion);
    aCodec.Field("hash", mHash);
    aCodec.Field("previous_hash", mPreviousHash);
    aCodec.Field("intent", mIntent);
    aCodec.Field("placement", mPlacement);
    aCodec.Field("drained", mDrained);
  }
};

/// The action of a plan on one engine.
struct PlanChange {
  std::string mAction;  ///< "load", "move", "drop" or "keep".
  StagePlacement mStage;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("action", mAction);
    aCodec.Required("stage", mStage);
  }
};

/// The capacity that a plan gives one model in one zone.
struct PlanCapacity {
  std::string mModel;
  std::string mZone;
  int mStages = 0;
  /// Of the slowest stage, by the speeds that engines reported.
  double mTokensPerSecond = 0;
  bool mSurvivesOneLoss = false;  ///< Whether each stage has two engines.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("model", mModel);
    aCodec.Required("zone", mZone);
    aCodec.Field("stages", mStages);
    aCodec.Field("tokens_per_second", mTokensPerSecond);
    aCodec.Field("survives_one_loss", mSurvivesOneLoss);
  }
};

/// The plan for an intent; it takes effect only when it is confirmed.
struct Plan {
  std::string mId;
  std::int64_t mBaseVersion = 0;
  Millis mExpiresWall = 0;  ///< Unix time in milliseconds.
  Intent mIntent;
  std::vector<StagePlacement> mPlacement;
  std::vector<PlanChange> mChanges;
  std::vector<PlanCapacity> mCapacity;
  std::vector<std::string> mWarnings;  ///< Do not prevent a confirmation.
  std::vector<std::string> mRejectionReasons;  ///< Empty: it can be confirmed.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("id", mId);
    aCodec.Required("base_version", mBaseVersion);
    aCodec.Field("expires_wall_ms", mExpiresWall);
    aCodec.Field("intent", mIntent);
    aCodec.Field("placement", mPlacement);
    aCodec.Field("changes", mChanges);
    aCodec.Field("capacity", mCapacity);
    aCodec.Field("short", mWarnings);
    aCodec.Field("forbidden", mRejectionReasons);
  }
};

/// The workspace, model or service, or nullptr if there is none.
const WorkspaceSpec* FindWorkspaceByKey(const Intent& aIntent,
                                        const std::string& aKeySha256);
const ModelSpec* FindModel(const Intent& aIntent, const std::string& aName);
const ServiceSpec* FindService(const Intent& aIntent, const std::string& aName);

/// Whether the list contains the name; an empty list allows all names.
bool Allows(const std::vector<std::string>& aList, const std::string& aName);

}  // namespace spindleweir
