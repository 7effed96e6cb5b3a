/// The part of a control process that finds the others by seeds, keeps the
/// registry of upstreams, and answers what routers ask.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "daemons/control/answer_parts.h"
#include "daemons/control/replicated_configuration.h"
#include "daemons/control/upstream_store.h"
#include "spindleweir/daemons/beat_answer.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/servers/membership/taker_choice.h"
#include "spindleweir/servers/routes/newest_confirmation.h"

namespace spindleweir {

/// Membership, registry and spreading on one control process.
class SyncService {
 public:
  SyncService(ControlContext& aContext, ReplicatedConfiguration& aLog);

  /// Takes a heartbeat. aDone is called once it may be acknowledged: news
  /// that an upstream leaves must not be lost with this process.
  void Beat(const UpstreamRecord& aRecord, const BeatDone& aDone);
  void Leave(const std::string& aInstance, const BeatDone& aDone);

  /// Upstreams that several routers cannot connect to.
  std::set<std::string> Unreachable();
  UpstreamRegistry& Registry() { return mRegistry; }
  const ControlDirectory& Directory() const { return mDirectory; }
  /// The configuration in force here; version 0: none yet.
  const TrafficConfiguration& Traffic();
  /// Sets the seeds anew.
  void SetSeeds(std::vector<Endpoint> aSeeds);

 private:
  /// How much of another control's registry is known.
  struct Source {
    std::string mLife;
    std::int64_t mRevision = 0;
    std::int64_t mLoadsNumber = 0;  ///< Of its routers' loads, heard last.
    bool mAsking = false;
    Millis mHeardAt = 0;
    std::string mId;  ///< Of the control that answered last.
  };

  SyncAnswer Answer(const SyncQuestion& aQuestion);
  void Remember(const SyncQuestion& aQuestion);
  /// Takes the heartbeats that a router took.
  void TakeBeats(const SyncQuestion& aQuestion);
  void LogChanged(const UpstreamRecord& aRecord);
  void AskOthers();
  /// The ids of controls that answered lately.
  std::vector<std::string> Hears() const;
  void Ask(const Endpoint& aAddress);
  void Take(const Endpoint& aAddress, const SyncAnswer& aAnswer,
            Millis aAskedAt);
  /// Takes what this control itself confirmed, where it leads.
  void ConfirmOwn(Millis aNow);
  void Tell(const std::string& aInstance, const BeatDone& aDone);
  void StepVoters();
  void KeepUpstreams();
  /// Whether most of control cannot be heard: then it is this process that
  /// is cut off, and the silence of upstreams says nothing of them.
  bool CutOff() const;
  /// An upstream that was not heard for so long counts as silent.
  Millis SilentAfter() const;
  /// What who asks lacks of the registry.
  void AddUpstreams(const SyncQuestion& aQuestion, SyncAnswer& aAnswer);
  /// Whether another control is told now which there are.
  bool IsToldControls(const SyncQuestion& aQuestion, Millis aNow);
  void AddLoads(const SyncQuestion& aQuestion, SyncAnswer& aAnswer);
  ControlInfo Self() const;

  ControlContext& mContext;
  ReplicatedConfiguration& mLog;
  std::string mLife;
  std::map<std::string, Millis> mControlsToldAt;  ///< By the id of who asked.
  ControlDirectory mDirectory;
  UpstreamRegistry mRegistry;
  TrafficHistory mTraffic;
  /// The newest that was committed and that nobody has asked for yet. A start
  /// commits the whole log at once: reading each of 118 versions of 600 routes
  /// took a new leader 2.7 s of its 0.15 cores, and the newest alone counts.
  std::optional<PublishedDocument> mUnread;
  std::map<std::string, Millis> mAskedAt;  ///< By router.
  NewestConfirmation mConfirmation;
  UpstreamStore mStore;
  TakerChoice mTakers;
  AnswerParts mParts;
  UpstreamFeed mFeed{UpstreamFeedOptions{}};
  LoadBook mLoads{LoadBookOptions{}};
  std::map<std::string, Source> mSources;  ///< By address.
  std::unique_ptr<Timer> mAskTimer;
  std::unique_ptr<Timer> mStepTimer;
};

}  // namespace spindleweir
