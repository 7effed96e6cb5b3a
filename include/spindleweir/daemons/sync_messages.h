/// Messages by which processes that joined by seeds poll the controls a few
/// times per second and report to them: controls, states of upstreams, loads,
/// crashes and configurations.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "spindleweir/servers/limits/crash_record.h"
#include "spindleweir/servers/membership/control_directory.h"
#include "spindleweir/servers/membership/forwarder_offer.h"
#include "spindleweir/servers/membership/poll_schedule.h"
#include "spindleweir/servers/membership/upstream_feed.h"
#include "spindleweir/servers/membership/upstream_table.h"
#include "spindleweir/servers/routes/traffic_change.h"
#include "spindleweir/servers/routing/load_aggregator.h"

namespace spindleweir {

namespace rpc_method {
/// A SyncRequest; answered by a SyncAnswer.
inline constexpr const char* kSync = "control.sync";
/// An UpstreamNotice; answered by a NoticeAnswer once its upstreams that leave
/// are on this control's disk, by kStorageFailed if the disk fails.
inline constexpr const char* kNotice = "control.notice";
/// A RetryCreditRequest; answered by a RetryCreditGrant.
inline constexpr const char* kRetries = "control.retries";
}  // namespace rpc_method

/// Records that a control must receive immediately.
struct UpstreamNotice {
  std::vector<Json::Value> mUpstreams;  ///< UpstreamRecord: see ReadRows.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("upstreams", mUpstreams);
  }
};

/// The answer to an UpstreamNotice.
struct NoticeAnswer {
  int mVoters = 0;  ///< Voters that the control knows of; 0: unknown.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Field("voters", mVoters);
  }
};

/// A router requests credit for retries that its own share does not cover.
struct RetryCreditRequest {
  std::string mProcess;  ///< Name of the router.
  std::string mService;
  int mWanted = 0;  ///< Retries.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("process", mProcess);
    aCodec.Required("service", mService);
    aCodec.Required("wanted", mWanted);
  }
};

/// Answers a RetryCreditRequest.
struct RetryCreditGrant {
  int mGranted = 0;  ///< Retries that may be sent now.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("granted", mGranted);
  }
};

/// A router or control polls a control.
struct SyncRequest {
  std::string mProcess;  ///< Name of the poller; new at each start.
  std::string mZone;
  ControlInfo mControl;  ///< Of a polling control; without id if a
                         ///< router polls.
  /// From a control: incarnations of the controls that answered it recently,
  /// and its own. The answer leaves out the changes and heartbeats of upstreams
  /// that these reported, since the poller receives them from these. Empty: it
  /// leaves out none.
  std::vector<std::string> mAnsweringIncarnations;
  /// From a control: it requests no upstreams yet.
  bool mSkipsUpstreams = false;
  std::string mKnownIncarnation;    ///< The answerer's incarnation to which the
                                    ///< known numbers below belong.
  std::int64_t mRevision = 0;       ///< Known revision of its registry.
  std::int64_t mConfiguration = 0;  ///< Version that the poller holds.
  /// From a control: it requests the versions after mConfiguration. Routers
  /// always receive them.
  bool mWantsConfiguration = false;
  /// Upstreams that the poller considers silent: rows of SilentUpstream, see
  /// ReadRows.
  std::vector<Json::Value> mSilent;
  /// From a router: the nearest control, to which it reports its loads,
  /// answered it recently.
  bool mNearestAnswers = false;
  /// "IP:PORT" at which a router collects heartbeats; empty: it collects none.
  std::string mCollectorAddress;
  /// "IP:PORT" at which a router forwards calls of others; empty: it forwards
  /// none at present.
  std::string mForwardingAddress;
  /// From a router: it requests routers that forward its calls.
  bool mWantsForwarders = false;
  std::string mCollectedUpstreams;  ///< Collected records that changed: see
                                    ///< PackUpstreams.
  /// Collected heartbeats that changed nothing else: a HeartbeatTable, see
  /// ReadHeartbeats.
  Json::Value mCollectedHeartbeats;
  /// From a control: the tag of the router list that it received last from the
  /// answerer; see RouterListTag().
  std::int64_t mKnownRouterList = 0;
  /// Sequence number of the loads that were received last from the answerer.
  std::int64_t mKnownLoads = 0;
  /// Sequence number of mLoads, which replace those reported before; 0: no
  /// loads are reported.
  std::int64_t mReportsLoads = 0;
  LoadTable mLoads;
  /// Known revision of the answerer's crash ledger.
  std::int64_t mKnownCrashRevision = 0;
  /// From a router: records of its ledger that the answerer has not received:
  /// rows of CrashRecord, see ReadCrashes.
  std::vector<Json::Value> mCrashes;

  /// What the request tells of the router that it is from.
  PollingRouter Router() const {
    return {.mIsNearest = mReportsLoads > 0,
            .mNearestAnswers = mNearestAnswers};
  }

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("process", mProcess);
    aCodec.Sparse("zone", mZone);
    aCodec.Sparse("control", mControl);
    aCodec.Sparse("hears_lives", mAnsweringIncarnations);
    aCodec.Sparse("skips_upstreams", mSkipsUpstreams);
    aCodec.Sparse("knows", mKnownIncarnation);
    aCodec.Sparse("revision", mRevision);
    aCodec.Sparse("configuration", mConfiguration);
    aCodec.Sparse("wants_configuration", mWantsConfiguration);
    aCodec.Sparse("silent", mSilent);
    aCodec.Sparse("hears_near", mNearestAnswers);
    aCodec.Sparse("takes_at", mCollectorAddress);
    aCodec.Sparse("forwards_at", mForwardingAddress);
    aCodec.Sparse("wants_forwarders", mWantsForwarders);
    aCodec.Sparse("taken_upstreams", mCollectedUpstreams);
    aCodec.Sparse("taken_beats", mCollectedHeartbeats);
    aCodec.Sparse("knows_router_list", mKnownRouterList);
    aCodec.Sparse("knows_loads", mKnownLoads);
    aCodec.Sparse("tells_loads", mReportsLoads);
    aCodec.Sparse("loads", mLoads);
    aCodec.Sparse("knows_crashes", mKnownCrashRevision);
    aCodec.Sparse("crashes", mCrashes);
  }
};

/// Answers a SyncRequest.
struct SyncAnswer {
  ControlInfo mSelf;
  std::string mIncarnation;  ///< New at each start of the answerer.
  std::vector<ControlInfo> mControls;
  std::string mLeader;  ///< Id of the answerer's leader; empty: none.
  std::int64_t mTerm = 0;
  std::int64_t mRevision = 0;
  std::vector<UpstreamUpdate> mUpstreamUpdates;  ///< Records that changed.
  /// To a control: heartbeats that changed nothing else, a HeartbeatTable.
  Json::Value mHeartbeats;
  /// Upstreams that the poller considers silent but that the answerer has seen
  /// later: rows of UpstreamRecord.
  std::vector<Json::Value> mNotSilent;
  /// mConfirmedAgo milliseconds ago, no version newer than mConfirmedVersion
  /// had been accepted; -1: not known.
  std::int64_t mConfirmedVersion = 0;
  Millis mConfirmedAgo = -1;
  /// Version that the answerer holds. To a control only.
  std::int64_t mHeldVersion = 0;
  std::vector<TrafficUpdate>
      mConfigurationUpdates;  ///< After the poller's version, in order.
  int mRouters = 1;           ///< That report their loads to any control.
  int mOwnRouters = 0;        ///< That report them to this control.
  /// To a control: which routers these are, unless it knows this list.
  RouterNumbers mOwnRouterList;
  std::int64_t mRouterListTag = 0;
  Millis mPollInterval = 0;  ///< Of routers in the answerer's zone.
  /// Routers that forward calls of the poller, if it requested them.
  std::vector<ForwarderInfo> mForwarders;
  /// To a router: loads of all routers; to a control: loads of the routers that
  /// report to the answerer. Empty if the poller has those of mLoadsNumber.
  std::string mPackedLoads;
  std::int64_t mLoadsNumber = 0;  ///< Sequence number of the loads; 0: none.
  Millis mLoadsAge = 0;           ///< Since the loads were summed.
  /// Sequence number of the poller's own report that the sums include; 0: none.
  std::int64_t mIncludedLoads = 0;
  /// Rows of CrashRecord that are new to the poller; to a router only those of
  /// requests that are or were barred.
  std::vector<Json::Value> mCrashes;
  std::int64_t mCrashRevision = 0;  ///< Ledger's revision with mCrashes.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("self", mSelf);
    aCodec.Required("life", mIncarnation);
    aCodec.Sparse("controls", mControls);
    aCodec.Sparse("leader", mLeader);
    aCodec.Sparse("term", mTerm);
    aCodec.Sparse("revision", mRevision);
    aCodec.Sparse("news_of_upstreams", mUpstreamUpdates);
    aCodec.Sparse("beats", mHeartbeats);
    aCodec.Sparse("not_silent", mNotSilent);
    aCodec.Field("confirmed_version", mConfirmedVersion);
    aCodec.Field("confirmed_ago_ms", mConfirmedAgo);
    aCodec.Sparse("holds", mHeldVersion);
    aCodec.Sparse("news", mConfigurationUpdates);
    aCodec.Field("routers", mRouters);
    aCodec.Sparse("own_routers", mOwnRouters);
    aCodec.Sparse("own_router_list", mOwnRouterList);
    aCodec.Sparse("router_list_tag", mRouterListTag);
    aCodec.Sparse("ask_every_ms", mPollInterval);
    aCodec.Sparse("forwarders", mForwarders);
    aCodec.Sparse("packed_loads", mPackedLoads);
    aCodec.Sparse("loads_number", mLoadsNumber);
    aCodec.Sparse("loads_ago_ms", mLoadsAge);
    aCodec.Sparse("summed_loads", mIncludedLoads);
    aCodec.Sparse("crashes", mCrashes);
    aCodec.Sparse("crash_revision", mCrashRevision);
  }
};

}  // namespace spindleweir
