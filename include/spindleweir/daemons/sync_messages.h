/// What processes that joined by seeds ask and tell control a few times a
/// second: who is there, what upstreams do, which configuration is in force.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "spindleweir/servers/limits/crash_ledger.h"
#include "spindleweir/servers/membership/control_directory.h"
#include "spindleweir/servers/membership/upstream_feed.h"
#include "spindleweir/servers/membership/upstream_table.h"
#include "spindleweir/servers/routes/traffic_change.h"
#include "spindleweir/servers/routing/load_aggregator.h"

namespace spindleweir {

namespace rpc_method {
inline constexpr const char* kSync = "control.sync";
/// An UpstreamNotice.
inline constexpr const char* kNotice = "control.notice";
/// A RetryCreditRequest; answered by a RetryCreditGrant.
inline constexpr const char* kRetries = "control.retries";
}  // namespace rpc_method

/// Records that a control must know at once.
struct UpstreamNotice {
  std::vector<Json::Value> mUpstreams;  ///< UpstreamRecord: see ReadRows.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("upstreams", mUpstreams);
  }
};

/// A router has requests that it may not send once more by its own part.
struct RetryCreditRequest {
  std::string mProcess;  ///< The router.
  std::string mService;
  int mWanted = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("process", mProcess);
    aCodec.Required("service", mService);
    aCodec.Required("wanted", mWanted);
  }
};

/// How many of them may go now.
struct RetryCreditGrant {
  int mGranted = 0;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("granted", mGranted);
  }
};

/// A router or control process asks a control process.
struct SyncRequest {
  std::string mProcess;  ///< Name of who asks; new at each start.
  std::string mZone;
  ControlInfo mControl;  ///< Of a control that asks; else without id.
  /// Of a control that asks: the ids of those that answered it lately.
  std::vector<std::string> mAnsweringControls;
  std::string
      mKnownIncarnation;  ///< The life of the answerer that mRevision is of.
  std::int64_t mRevision = 0;       ///< Of its registry, known so far.
  std::int64_t mConfiguration = 0;  ///< The version held.
  /// Held for silent by who asks: rows of SilentUpstream, see ReadRows.
  std::vector<Json::Value> mSilent;
  /// The control that a router tells its loads to answered it lately.
  bool mNearestAnswers = false;
  /// "IP:PORT" where a router takes heartbeats; empty: it takes none.
  std::string mCollectorAddress;
  std::string mCollectedUpstreams;   ///< Those with news: see PackUpstreams.
  Json::Value mCollectedHeartbeats;  ///< Of the others: a HeartbeatTable, see
                                     ///< ReadHeartbeats.
  /// The number of the loads that were heard last from who is asked.
  std::int64_t mKnownLoads = 0;
  /// Of the loads that are told; 0: none are. They replace what was told.
  std::int64_t mReportsLoads = 0;
  LoadTable mLoads;
  /// The revision of the answerer's crash ledger that is known.
  std::int64_t mKnownCrashRevision = 0;
  /// Of a router: what its ledger has that the answerer was not told: rows of
  /// CrashRecord, see ReadCrashes.
  std::vector<Json::Value> mCrashes;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("process", mProcess);
    aCodec.Sparse("zone", mZone);
    aCodec.Sparse("control", mControl);
    aCodec.Sparse("hears", mAnsweringControls);
    aCodec.Sparse("knows", mKnownIncarnation);
    aCodec.Sparse("revision", mRevision);
    aCodec.Sparse("configuration", mConfiguration);
    aCodec.Sparse("silent", mSilent);
    aCodec.Sparse("hears_near", mNearestAnswers);
    aCodec.Sparse("takes_at", mCollectorAddress);
    aCodec.Sparse("taken_upstreams", mCollectedUpstreams);
    aCodec.Sparse("taken_beats", mCollectedHeartbeats);
    aCodec.Sparse("knows_loads", mKnownLoads);
    aCodec.Sparse("tells_loads", mReportsLoads);
    aCodec.Sparse("loads", mLoads);
    aCodec.Sparse("knows_crashes", mKnownCrashRevision);
    aCodec.Sparse("crashes", mCrashes);
  }
};

/// The answer.
struct SyncAnswer {
  ControlInfo mSelf;
  std::string mIncarnation;  ///< New at each start of the answerer.
  std::vector<ControlInfo> mControls;
  std::string mLeader;  ///< Id of the leader it follows; empty: none.
  std::int64_t mTerm = 0;
  std::int64_t mRevision = 0;
  std::vector<UpstreamUpdate> mUpstreamUpdates;  ///< Those that changed.
  /// To another control: heartbeats that changed nothing, a HeartbeatTable.
  Json::Value mHeartbeats;
  /// Heard here later than who asks knows, though it holds them for silent:
  /// rows of UpstreamRecord.
  std::vector<Json::Value> mNotSilent;
  /// No newer version than this was accepted so long ago; -1: not known.
  std::int64_t mConfirmedVersion = 0;
  Millis mConfirmedAgo = -1;
  std::vector<TrafficUpdate>
      mConfigurationUpdates;  ///< From the version held, in order.
  int mRouters = 1;           ///< That tell their loads to any control.
  int mOwnRouters = 0;        ///< That tell them to this one.
  Millis mPollInterval = 0;   ///< So often a router of its zone should ask.
  /// Of all routers, to a router; of its own routers, to another control. Left
  /// out where who asks has them by their number.
  std::string mPackedLoads;
  std::int64_t mLoadsNumber = 0;  ///< 0: none are told.
  Millis mLoadsAge = 0;           ///< Since they were summed up.
  /// The number of what who asks told that is among them; 0: nothing.
  std::int64_t mIncludedLoads = 0;
  /// Rows of CrashRecord that are new to who asks; to a router, of requests
  /// that are or were barred.
  std::vector<Json::Value> mCrashes;
  std::int64_t mCrashRevision = 0;  ///< Known with them.

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
    aCodec.Sparse("news", mConfigurationUpdates);
    aCodec.Field("routers", mRouters);
    aCodec.Sparse("own_routers", mOwnRouters);
    aCodec.Sparse("ask_every_ms", mPollInterval);
    aCodec.Sparse("packed_loads", mPackedLoads);
    aCodec.Sparse("loads_number", mLoadsNumber);
    aCodec.Sparse("loads_ago_ms", mLoadsAge);
    aCodec.Sparse("summed_loads", mIncludedLoads);
    aCodec.Sparse("crashes", mCrashes);
    aCodec.Sparse("crash_revision", mCrashRevision);
  }
};

}  // namespace spindleweir
