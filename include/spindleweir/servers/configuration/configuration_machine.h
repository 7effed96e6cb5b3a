/// The state machine of the replicated log: plans, the accepted configuration,
/// and the result of each command.
#pragma once

#include <sigc++/signal.h>

#include <deque>
#include <map>
#include <string>

#include "spindleweir/core/result_code.h"
#include "spindleweir/servers/configuration/configuration_change.h"
#include "spindleweir/servers/configuration/configuration_history.h"

namespace spindleweir {

enum class CommandKind { kPlan, kConfirm, kDrain, kPublish };

/// One command of the log. The leader sets every value that could differ
/// between voters (time, ids, placement), so that all voters reach the same
/// state.
struct Command {
  std::string mId;      ///< Set by the operator; a retry has the same id.
  std::string mDigest;  ///< SHA-256 of the operator's request.
  CommandKind mKind = CommandKind::kPlan;
  Millis mLeaderWallTime = 0;        ///< Unix time (ms) for expiry.
  Plan mPlan;                        ///< For kPlan.
  std::string mPlanId;               ///< For kConfirm.
  std::string mVm;                   ///< For kDrain.
  bool mDrain = true;                ///< For kDrain; false: undrain.
  std::int64_t mTrafficVersion = 0;  ///< For kPublish.
  std::string mDocument;             ///< For kPublish; packed.

  template <class Codec>
  void Fields(Codec& aCodec) {
    int kind = static_cast<int>(mKind);
    aCodec.Required("id", mId);
    aCodec.Required("digest", mDigest);
    aCodec.Required("kind", kind);
    mKind = static_cast<CommandKind>(kind);
    aCodec.Required("wall_ms", mLeaderWallTime);
    if (mKind == CommandKind::kPlan) {
      aCodec.Field("plan", mPlan);
    }
    aCodec.Field("plan_id", mPlanId);
    aCodec.Field("vm", mVm);
    aCodec.Field("drain", mDrain);
    if (mKind == CommandKind::kPublish) {
      aCodec.Required("traffic_version", mTrafficVersion);
      aCodec.Required("document", mDocument);
    }
  }
};

/// A published traffic configuration, as it was sent; the document may be
/// packed (core/packing.h).
struct PublishedDocument {
  std::int64_t mVersion = 0;  ///< 0: nothing published yet.
  std::string mDigest;
  std::string mDocument;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("version", mVersion);
    aCodec.Required("digest", mDigest);
    aCodec.Required("document", mDocument);
  }
};

/// The result of a command.
struct CommandResult {
  std::string mId;
  std::string mDigest;
  int mCode = 0;              ///< A ResultCode.
  std::string mMessage;       ///< Why the command was rejected.
  std::string mPlanId;        ///< Plan that was made or confirmed.
  std::int64_t mVersion = 0;  ///< Version in force afterwards.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("id", mId);
    aCodec.Required("digest", mDigest);
    aCodec.Required("code", mCode);
    aCodec.Field("message", mMessage);
    aCodec.Field("plan_id", mPlanId);
    aCodec.Field("version", mVersion);
  }
};

/// Applies commands in the order of the log. Deterministic: equal commands lead
/// to equal states.
class ConfigurationMachine {
 public:
  /// Applies one command. A command id that was applied before gets its first
  /// result again and changes nothing; with a different digest it is rejected
  /// with kCommandReused.
  CommandResult Apply(const Command& aCommand);

  const Configuration& Current() const { return mHistory.Current(); }
  const ConfigurationHistory& History() const { return mHistory; }
  /// The newest published document.
  const PublishedDocument& Published() const { return mPublished; }
  const Plan* FindPlan(const std::string& aId) const;
  /// The result of a command, or nullptr.
  const CommandResult* FindResult(const std::string& aCommandId) const;

  /// The complete state as JSON, for a snapshot; Restore() reads it.
  std::string Save() const;
  void Restore(const std::string& aData);

  /// Emitted with each newly accepted configuration.
  sigc::signal<void, const Configuration&>& SignalAccepted() {
    return mSignalAccepted;
  }
  /// Emitted with each newly published document.
  sigc::signal<void, const PublishedDocument&>& SignalPublished() {
    return mSignalPublished;
  }

 private:
  CommandResult ApplyPlan(const Command& aCommand);
  CommandResult ApplyConfirm(const Command& aCommand);
  CommandResult ApplyDrain(const Command& aCommand);
  CommandResult ApplyPublish(const Command& aCommand);
  void AcceptConfiguration(Configuration aNext);
  void StoreResult(const CommandResult& aResult);
  void DropExpiredPlans(Millis aWallTime);

  ConfigurationHistory mHistory;
  std::map<std::string, Plan> mPlans;
  std::deque<CommandResult> mResults;  ///< Oldest first, bounded.
  std::map<std::string, CommandResult> mResultsById;
  PublishedDocument mPublished;
  sigc::signal<void, const Configuration&> mSignalAccepted;
  sigc::signal<void, const PublishedDocument&> mSignalPublished;
};

}  // namespace spindleweir
