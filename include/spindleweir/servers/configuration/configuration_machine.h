/// The state that the replicated log builds: plans, the accepted
/// configuration, and the answer that each command got.
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

/// One command of the log. All that differs between voters (time, ids,
/// placement) was put in by the leader, so that each voter comes to the same.
struct Command {
  std::string mId;      ///< The operator's; a resend carries the same.
  std::string mDigest;  ///< SHA-256 of what was asked.
  CommandKind mKind = CommandKind::kPlan;
  Millis mLeaderWallTime = 0;        ///< The leader's time, for expiry.
  Plan mPlan;                        ///< For kPlan.
  std::string mPlanId;               ///< For kConfirm.
  std::string mVm;                   ///< For kDrain.
  bool mDrain = true;                ///< For kDrain: false takes the VM back.
  std::int64_t mTrafficVersion = 0;  ///< For kPublish.
  std::string mDocument;             ///< For kPublish: as sent, packed.

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

/// A configuration that was accepted by its version, as it was sent; the
/// document may be packed (core/packing.h).
struct PublishedDocument {
  std::int64_t mVersion = 0;  ///< 0: none yet.
  std::string mDigest;
  std::string mDocument;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("version", mVersion);
    aCodec.Required("digest", mDigest);
    aCodec.Required("document", mDocument);
  }
};

/// What a command came to.
struct CommandResult {
  std::string mId;
  std::string mDigest;
  int mCode = 0;              ///< A ResultCode.
  std::string mMessage;       ///< Why it was refused.
  std::string mPlanId;        ///< The plan made or confirmed.
  std::int64_t mVersion = 0;  ///< The version in force after it.

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

/// Applies commands in the order of the log. Deterministic.
class ConfigurationMachine {
 public:
  /// Applies one command; one that was applied before gets its first answer,
  /// and changes nothing.
  CommandResult Apply(const Command& aCommand);

  const Configuration& Current() const { return mHistory.Current(); }
  const ConfigurationHistory& History() const { return mHistory; }
  /// The newest document that was accepted by its version.
  const PublishedDocument& Published() const { return mPublished; }
  const Plan* FindPlan(const std::string& aId) const;
  /// The answer a command got, or nullptr.
  const CommandResult* FindResult(const std::string& aCommandId) const;

  /// The whole state as JSON, and back.
  std::string Save() const;
  void Restore(const std::string& aData);

  /// Sent after each newly accepted configuration.
  sigc::signal<void, const Configuration&>& SignalAccepted() {
    return mSignalAccepted;
  }
  /// Sent after each newly accepted document.
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
  void DropExpiredPlans(Millis aWall);

  ConfigurationHistory mHistory;
  std::map<std::string, Plan> mPlans;
  std::deque<CommandResult> mResults;  ///< Oldest first, bounded.
  std::map<std::string, CommandResult> mResultsById;
  PublishedDocument mPublished;
  sigc::signal<void, const Configuration&> mSignalAccepted;
  sigc::signal<void, const PublishedDocument&> mSignalPublished;
};

}  // namespace spindleweir
