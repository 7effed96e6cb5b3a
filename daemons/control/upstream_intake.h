/// The part of a control process that keeps the registry of upstreams: it takes
/// heartbeats and other processes' word, and tells what each poller lacks.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemons/control/control_context.h"
#include "daemons/control/upstream_store.h"
#include "spindleweir/daemons/beat_answer.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/servers/membership/collector_choice.h"

namespace spindleweir {

class UpstreamIntake {
 public:
  /// Whether the configuration in force has a service, or there is none yet.
  using ServiceHook = std::function<bool(const std::string& aService)>;

  /// aDirectory: the controls that are notified at once of upstreams that
  /// leave. aRestores: the list on disk is new enough to be used.
  UpstreamIntake(ControlContext& aContext, const ControlDirectory& aDirectory,
                 ServiceHook aKnowsService, bool aRestores);

  /// Takes a heartbeat. aDone is called once it may be acknowledged: news
  /// that an upstream leaves must not be lost with this process. Throws
  /// kUnknownService for an upstream that is new here and of no service that
  /// is known; one that leaves, or that is known, is always taken.
  void OnHeartbeat(const UpstreamRecord& aRecord, const BeatDone& aDone);
  /// aStart: of the incarnation that leaves; 0: not notified.
  void ApplyLeave(const std::string& aInstance, const BeatDone& aDone,
                  std::int64_t aStart = 0);

  /// A router asked: it may take heartbeats, and tells those that it took.
  void OnPolled(const SyncQuestion& aRequest);
  /// Takes what another control knows. aBy: its id.
  void ApplyAnswer(const SyncAnswer& aAnswer, const std::string& aBy);
  /// Adds what who asks lacks of the registry. aIncarnation: of this process.
  void Answer(const SyncQuestion& aRequest, const std::string& aIncarnation,
              SyncAnswer& aAnswer);
  /// Marks those silent that were not heard for long.
  void Expire();
  /// Keeps those that are ready on disk.
  void Save();

  UpstreamRegistry& Registry() { return mRegistry; }
  const UpstreamRegistry& Registry() const { return mRegistry; }

 private:
  /// Takes what the disk has.
  void Restore();
  void OnNotice(const UpstreamNotice& aNotice);
  void NotifyControls(const std::string& aInstance, const BeatDone& aDone);
  /// An upstream that was not heard for so long counts as silent.
  Millis SilenceTimeout() const;

  ControlContext& mContext;
  const ControlDirectory& mDirectory;
  ServiceHook mKnowsService;
  UpstreamRegistry mRegistry;
  UpstreamStore mStore;
  CollectorChoice mCollectorChoice;
  UpstreamFeed mFeed{UpstreamFeedOptions{}};
};

}  // namespace spindleweir
