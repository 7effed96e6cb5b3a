/// The upstreams that send heartbeats: their incarnations, states and layers.
/// Reports of one upstream are ordered by its start time and the sequence
/// numbers of its heartbeats.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "spindleweir/core/clock.h"
#include "spindleweir/core/settings.h"

namespace spindleweir {

/// The state of an incarnation. It never goes back to an earlier one, except
/// from kSilent, and from kGone if another one has its address only.
enum class UpstreamState {
  kReady,
  kSilent,   ///< No heartbeat for too long; it may be dead or cut off.
  kLeaving,  ///< Accepts no new work.
  kGone,     ///< Has left for good, or another one has its address.
};

/// Layers [mFrom, mTo) of a model; empty if both are equal.
struct LayerRange {
  int mFrom = 0;
  int mTo = 0;

  int Count() const { return mTo - mFrom; }
  bool Holds(int aFrom, int aTo) const { return mFrom <= aFrom && aTo <= mTo; }
  bool operator==(const LayerRange&) const = default;
  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("from", mFrom);
    aCodec.Required("to", mTo);
  }
};

/// One incarnation of an upstream, identified by its instance name and start
/// time. Some upstreams take a new name at each start, others keep theirs.
struct UpstreamRecord {
  std::string mInstance;
  /// Unix milliseconds by the upstream's clock; 0: unknown, and older than any
  /// other.
  std::int64_t mStart = 0;
  std::string mService;
  std::string mAddress;  ///< "IP:PORT".
  std::string mZone;
  std::string mKind;  ///< Kind of accelerator; empty for plain services.
  int mSlots = 0;
  UpstreamState mState = UpstreamState::kReady;
  std::int64_t mSequence = 0;  ///< Of the newest heartbeat.
  LayerRange mLayers;
  bool mBusy = false;       ///< An order is in progress, as far as is known.
  Millis mLastSeenAgo = 0;  ///< Age of the newest heartbeat at sending.

  template <class Codec>
  void Fields(Codec& aCodec) {
    int state = static_cast<int>(mState);
    aCodec.Required("instance", mInstance);
    aCodec.Field("start", mStart);
    aCodec.Required("service", mService);
    aCodec.Required("address", mAddress);
    aCodec.Required("zone", mZone);
    aCodec.Field("kind", mKind);
    aCodec.Field("slots", mSlots);
    aCodec.Required("state", state);
    mState = static_cast<UpstreamState>(state);
    aCodec.Required("sequence", mSequence);
    aCodec.Field("layers", mLayers);
    aCodec.Field("busy", mBusy);
    aCodec.Field("heard_ago_ms", mLastSeenAgo);
  }
};

/// Whether two records of one instance are equal in all fields that routers
/// need. A change of these is sent to all routers at once; a heartbeat alone
/// changes none of them.
bool SameForRouters(const UpstreamRecord& aLeft, const UpstreamRecord& aRight);

/// Whether an upstream in this state accepts no new work any more.
bool IsLeavingOrGone(UpstreamState aState);

/// A heartbeat that changed nothing but the sequence.
struct UpstreamHeartbeat {
  std::string mInstance;
  std::int64_t mSequence = 0;
  Millis mLastSeenAgo = 0;  ///< At the time of sending.
  std::int64_t mStart = 0;  ///< See UpstreamRecord.
};

/// Messages of upstreams may arrive seconds late, and so may the leave of a
/// predecessor. A leave without a start time therefore does not end an
/// incarnation that was first seen within this time under a name that was known
/// before, and is not acknowledged for that long.
inline constexpr Millis kLeaveDoubtWindow = 5000;

/// Effect of a message that an upstream has left for good.
enum class LeaveOutcome {
  kEnded,         ///< The incarnation is now gone.
  kAlreadyKnown,  ///< It was gone already, or has a successor.
  /// The message has no start time and the known incarnation has just started:
  /// it may be a late message of the predecessor. Nothing changed, and it must
  /// not be acknowledged; an upstream that still wants to leave sends it again.
  kInDoubt,
};

/// An upstream that a process considers silent.
struct SilentUpstream {
  std::string mInstance;
  std::int64_t mSequence = 0;  ///< Of the newest heartbeat known.
  std::int64_t mStart = 0;     ///< See UpstreamRecord.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("instance", mInstance);
    aCodec.Required("sequence", mSequence);
    aCodec.Field("start", mStart);
  }
};

/// The registry of one control process, or the registry in which a router
/// merges those of all controls. It holds one incarnation of each instance, the
/// one that started last. It does no input or output; the caller passes the
/// time in.
///
/// Start times come from the upstreams' own clocks. If such a clock was set
/// back, the new incarnation looks older than the one before. It is then stored
/// as pending, and replaces the other once that was not seen for a minute.
///
/// An address has one process at a time. Of several incarnations there, the one
/// whose heartbeat was heard last replaces the others: they are gone. Since it
/// may be late, one that has not left itself is ready again with its next
/// heartbeat, and other processes are told that it is silent.
class UpstreamRegistry {
 public:
  /// Called with the successor when an incarnation is replaced by another of
  /// its name, which makes all data stored about the instance invalid. The hook
  /// must not change the registry.
  using SuccessorHook = std::function<void(const UpstreamRecord&)>;
  void SetSuccessorHook(SuccessorHook aHook) {
    mSuccessorHook = std::move(aHook);
  }

  /// Applies a heartbeat; one that a newer one has overtaken changes nothing.
  /// Returns whether the record is new or changed for routers.
  bool ApplyHeartbeat(const UpstreamRecord& aRecord, Millis aNow);
  /// The incarnation has left for good; its later heartbeats are ignored. A
  /// leave without a start time (0) ends the incarnation that is known.
  LeaveOutcome ApplyLeave(const std::string& aInstance, Millis aNow,
                          std::int64_t aStart = 0);
  /// Merges a record of another registry. aReporter: the incarnation of the
  /// control that sent it; empty: a router that collected the heartbeat, which
  /// counts as received here.
  bool Merge(const UpstreamRecord& aRecord, Millis aNow,
             const std::string& aReporter = "");
  /// Merges a heartbeat without changes that another process received. Returns
  /// whether the record changed for routers: a silent upstream is ready again.
  /// An unknown instance is ignored.
  bool MergeHeartbeat(const UpstreamHeartbeat& aHeartbeat, Millis aNow,
                      const std::string& aReporter = "");
  /// Marks upstreams as silent that were not seen for aSilenceTimeout, and
  /// removes those that were not seen for a minute. Returns those that became
  /// silent now.
  std::vector<UpstreamRecord> Expire(Millis aSilenceTimeout, Millis aNow);
  /// For a process that receives changes only: removes upstreams that are not
  /// ready and were not seen for a minute.
  void RemoveEnded(Millis aNow);

  /// The revision of the newest change or heartbeat.
  std::int64_t Revision() const { return mRevision; }
  /// The revision of the newest change that was more than a heartbeat.
  std::int64_t LastChangeRevision() const { return mLastChangeRevision; }
  /// The records that changed after a revision; with aReporter only those that
  /// this reporter's message changed, "" for what was received or decided here.
  std::vector<UpstreamRecord> ChangedSince(
      std::int64_t aRevision, Millis aNow,
      const std::optional<std::string>& aReporter = std::nullopt) const;
  /// The records of upstreams that leave or are gone.
  std::vector<UpstreamRecord> LeavingOrGone(Millis aNow) const;
  /// The reporters of the changes after a revision.
  std::set<std::string> ChangeReporters(std::int64_t aRevision) const;
  /// The heartbeats after a revision, for another registry that knows the
  /// changes up to aKnown. Upstreams that changed later are left out, since a
  /// heartbeat must not be known before the change that came with it. Also left
  /// out are heartbeats that this registry received from one of aReporters, the
  /// controls that report to the other registry directly: when each of five
  /// controls forwarded them, 2,500 heartbeats a second took a third of a
  /// control.
  std::vector<UpstreamHeartbeat> HeartbeatsSince(
      std::int64_t aRevision, std::int64_t aKnown, Millis aNow,
      const std::set<std::string>& aReporters = {}) const;

  /// The upstreams that are silent or replaced, and those that are ready beside
  /// another at their address: a newer heartbeat of theirs is to be asked for.
  std::vector<SilentUpstream> SilentUpstreams() const;
  /// The upstreams of a list that this registry has a newer heartbeat of, seen
  /// within aWindow. While a cut splits control, an upstream's heartbeats may
  /// reach only one part.
  std::vector<UpstreamRecord> SeenLaterThan(
      const std::vector<SilentUpstream>& aSilent, Millis aWindow,
      Millis aNow) const;

  const UpstreamRecord* Find(const std::string& aInstance) const;
  /// Whether an upstream is gone only since another one has its address.
  bool IsReplaced(const std::string& aInstance) const;
  /// All records of a service, or of all services if it is empty.
  std::vector<const UpstreamRecord*> OfService(
      const std::string& aService) const;
  std::size_t Size() const { return mItems.size(); }

 private:
  /// What is known of an incarnation.
  struct Incarnation {
    UpstreamRecord mRecord;
    /// Sequence of the heartbeat that the content of mRecord is from. mRecord's
    /// own sequence may be newer, from a heartbeat without content.
    std::int64_t mContentSequence = 0;
    Millis mLastSeenAt = 0;
    Millis mFirstSeenAt = 0;
    /// Sender of the newest heartbeat; empty: received here.
    std::string mReporter;
    /// It is gone only since another one has its address.
    bool mIsReplaced = false;
  };
  struct Item : Incarnation {
    std::int64_t mChangeRevision = 0;  ///< Of the last change.
    /// Whose message made it; empty: received or decided here.
    std::string mChangeReporter;
    std::int64_t mHeartbeatRevision = 0;  ///< Of the last heartbeat.
    /// Heartbeats since another incarnation replaced it at its address, its
    /// first one included.
    int mHeartbeats = 0;
    /// Another incarnation of its name was known before.
    bool mHasPredecessor = false;
    /// A leave without a start arrived at this time, before any other message;
    /// -1: no.
    Millis mLeftUnseenAt = -1;
    /// An incarnation that looks older, but may have started later.
    std::optional<Incarnation> mPending;
  };

  bool Apply(const UpstreamRecord& aRecord, Millis aSeenAt,
             const std::string& aReporter, Millis aNow);
  /// Applies a record of the incarnation that is held.
  bool ApplySame(Item& aItem, const UpstreamRecord& aRecord, Millis aSeenAt,
                 const std::string& aReporter);
  /// Applies a record of an incarnation that started before the one held.
  static void ApplyOlder(Item& aItem, const UpstreamRecord& aRecord,
                         Millis aSeenAt, const std::string& aReporter);
  /// Applies a record of an incarnation that started after the one held.
  bool ApplyNewer(Item& aItem, const UpstreamRecord& aRecord, Millis aSeenAt,
                  const std::string& aReporter, Millis aNow);
  /// Updates an incarnation, held or pending, from a record of its own.
  static void UpdateFromRecord(Incarnation& aIncarnation,
                               const UpstreamRecord& aRecord, Millis aSeenAt,
                               const std::string& aReporter);
  /// Makes an incarnation the one that is held.
  void Begin(Item& aItem, Incarnation aIncarnation);
  void End(Item& aItem);
  LeaveOutcome ApplyLeaveWithoutStart(const std::string& aInstance,
                                      Millis aSeenAt);
  /// Drops an incarnation that was not seen for a minute; a pending one takes
  /// its place. Returns whether none is left.
  bool DropExpired(Item& aItem, Millis aNow);
  void MarkChanged(Item& aItem, const std::string& aReporter);
  /// The other incarnations at its address that are not gone.
  std::vector<std::string> OthersAtAddress(const UpstreamRecord& aRecord) const;
  /// An incarnation is held now: it replaces the others at its address, or is
  /// silent if one of them is later.
  void OnFirstHeartbeat(Item& aAdded);
  /// The sequence of the held incarnation has risen, so that it may replace
  /// others at its address. aWasSilent: it was silent or replaced before.
  void OnNewerHeartbeat(Item& aItem, bool aWasSilent);
  /// Whether a newer heartbeat of aItem shows that aOther has ended.
  static bool Outlives(const Item& aItem, const Item& aOther);
  /// Another incarnation has its address, as far as is known.
  void Replace(Item& aItem);
  /// Adds the upstreams that are ready beside another at their address.
  void AppendSharing(std::vector<SilentUpstream>& aSilent) const;
  /// Removes a record that is no longer held from mInstancesByAddress.
  void RemoveFromAddress(const UpstreamRecord& aRecord);
  /// The state that other processes are told: only what has left is gone.
  static UpstreamState StateToReport(const Incarnation& aIncarnation);
  /// Sets the state; a replaced one that is silent remains replaced.
  static void SetState(Incarnation& aIncarnation, UpstreamState aState);
  /// The state of an incarnation after a record of it.
  static UpstreamState StateAfter(const Incarnation& aIncarnation,
                                  const UpstreamRecord& aRecord,
                                  Millis aSeenAt);

  std::map<std::string, Item> mItems;
  /// Finds the predecessors at an address without a search.
  std::map<std::string, std::set<std::string>> mInstancesByAddress;
  std::int64_t mRevision = 0;
  std::int64_t mLastChangeRevision = 0;
  SuccessorHook mSuccessorHook;
};

}  // namespace spindleweir
