/// The upstreams that reported to control: their incarnations, states and
/// layers, ordered by the starts that they tell and the sequence numbers of
/// their heartbeats.
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

/// What an upstream may be used for; a later one is never taken back by an
/// earlier one for the same incarnation, but for kSilent.
enum class UpstreamState {
  kReady,
  kSilent,   ///< No heartbeat for long; it may be dead or cut off.
  kLeaving,  ///< Takes no new work.
  kGone,     ///< Has left for good.
};

/// Layers [mFrom, mTo) of a model; empty where both are equal.
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

/// One incarnation of an upstream: its instance name and its start. Some take
/// a new name at each start, others keep theirs.
struct UpstreamRecord {
  std::string mInstance;
  /// Unix milliseconds by its own clock; 0: not told, older than any other.
  std::int64_t mStart = 0;
  std::string mService;
  std::string mAddress;  ///< "IP:PORT".
  std::string mZone;
  std::string mKind;  ///< Of accelerator; empty for plain services.
  int mSlots = 0;
  UpstreamState mState = UpstreamState::kReady;
  std::int64_t mSequence = 0;  ///< Of the newest heartbeat.
  LayerRange mLayers;
  bool mBusy = false;       ///< An order is under way, as far as is known.
  Millis mLastSeenAgo = 0;  ///< Since the newest heartbeat, when sent.

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

/// Whether two records of one instance are the same for routers: what they are
/// told at once and everywhere. Heartbeats alone change none of it.
bool SameForRouters(const UpstreamRecord& aLeft, const UpstreamRecord& aRight);

/// Whether it takes no new work any more.
bool IsLeavingOrGone(UpstreamState aState);

/// A heartbeat that told nothing new.
struct UpstreamHeartbeat {
  std::string mInstance;
  std::int64_t mSequence = 0;
  Millis mLastSeenAgo = 0;  ///< When sent.
  std::int64_t mStart = 0;  ///< See UpstreamRecord.
};

/// Upstreams' word may come seconds late, a leave of the predecessor as well:
/// one that tells no start ends none that began so lately under a name that was
/// known. Who leaves right after such a start is not acknowledged for that
/// long.
inline constexpr Millis kLeaveDoubtWindow = 5000;

/// What became of word that an upstream has left for good.
enum class LeaveOutcome {
  kEnded,         ///< The incarnation is gone now.
  kAlreadyKnown,  ///< It was known as gone, or has a successor.
  /// It tells no start, and the incarnation that is known has just begun: the
  /// word may be a late one of its predecessor. Nothing changed, and it must
  /// not be acknowledged; who still wants to leave says so again.
  kInDoubt,
};

/// An upstream that a process holds for silent, by what it knows.
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

/// The registry of one control process; also what a router knows of all
/// registries together. It holds one incarnation of each instance, the one that
/// started last. Decisions only: the time comes with each call.
///
/// Starts are by the upstreams' own clocks. Where one stepped back, the new
/// incarnation looks older: it waits beside the other and takes its place once
/// that was not heard for a minute.
class UpstreamRegistry {
 public:
  /// Called with the successor where an incarnation is followed by another of
  /// its name: what is remembered of the instance holds no more. The registry
  /// must not be changed meanwhile.
  using SuccessorHook = std::function<void(const UpstreamRecord&)>;
  void SetSuccessorHook(SuccessorHook aHook) {
    mSuccessorHook = std::move(aHook);
  }

  /// Takes a heartbeat; one that was overtaken changes nothing. Returns
  /// whether the record is new or changed for routers.
  bool ApplyHeartbeat(const UpstreamRecord& aRecord, Millis aNow);
  /// The incarnation has left; its later heartbeats count for nothing. Word
  /// that tells no start ends the one that is known.
  LeaveOutcome ApplyLeave(const std::string& aInstance, Millis aNow,
                          std::int64_t aStart = 0);
  /// Takes what another registry knows. aToldBy: the control process that it
  /// is of; empty: a router that took the heartbeat, which counts as heard
  /// here.
  bool Merge(const UpstreamRecord& aRecord, Millis aNow,
             const std::string& aToldBy = "");
  /// Takes a heartbeat that another process heard and that told it nothing new.
  /// Returns whether the record changed for routers: one held for silent is
  /// ready again. An instance that is not known changes nothing.
  bool MergeHeartbeat(const UpstreamHeartbeat& aBeat, Millis aNow,
                      const std::string& aToldBy = "");
  /// Marks those silent that were not heard for aSilence, and forgets those
  /// that are gone or silent for long. Returns those that are silent now.
  std::vector<UpstreamRecord> Expire(Millis aSilence, Millis aNow);
  /// For who hears of changes only: forgets those that are not ready and were
  /// not heard for long.
  void RemoveEnded(Millis aNow);

  /// The revision of the newest word.
  std::int64_t Revision() const { return mRevision; }
  /// The revision of the newest that was more than a heartbeat.
  std::int64_t LastChangeRevision() const { return mLastChangeRevision; }
  /// The records changed after a revision.
  std::vector<UpstreamRecord> ChangedSince(std::int64_t aRevision,
                                           Millis aNow) const;
  /// Those heard after a revision, for another registry that knows the changes
  /// up to aKnown. Who changed later than that is left out: a heartbeat must
  /// not be known before what it told. Left out, too, are those that were told
  /// here by controls that who asks hears itself (aHears): told on by each of
  /// five, 2,500 heartbeats a second took a third of a control.
  std::vector<UpstreamHeartbeat> HeartbeatsSince(
      std::int64_t aRevision, std::int64_t aKnown, Millis aNow,
      const std::set<std::string>& aHears = {}) const;

  std::vector<SilentUpstream> SilentUpstreams() const;
  /// Those of a list that were heard here later than the list knows, and
  /// within aWithin: where control is split, heartbeats reach either part.
  std::vector<UpstreamRecord> SeenLaterThan(
      const std::vector<SilentUpstream>& aSilent, Millis aWithin,
      Millis aNow) const;

  const UpstreamRecord* Find(const std::string& aInstance) const;
  /// All records of a service, or of all where it is empty.
  std::vector<const UpstreamRecord*> OfService(
      const std::string& aService) const;
  std::size_t Size() const { return mItems.size(); }

 private:
  /// What was heard of an incarnation.
  struct Heard {
    UpstreamRecord mRecord;
    /// Of the heartbeat whose content mRecord has; a heartbeat that was only
    /// heard of may be newer.
    std::int64_t mContentOf = 0;
    Millis mHeardAt = 0;
    Millis mFirstAt = 0;  ///< When it was heard of first.
    std::string mToldBy;  ///< Who told of the newest heartbeat; empty: heard.
  };
  struct Item : Heard {
    std::int64_t mChangedAt = 0;  ///< Revision of the last change.
    std::int64_t mTouchedAt = 0;  ///< Revision of the last heartbeat.
    bool mFollows = false;        ///< Another of its name was known before.
    /// Word that it left came before any other of it, and at this time; -1: no.
    Millis mLeftUnknownAt = -1;
    /// An incarnation that looks older, though it may have begun later.
    std::optional<Heard> mWaiting;
  };

  bool Take(const UpstreamRecord& aRecord, Millis aHeardAt,
            const std::string& aToldBy, Millis aNow);
  /// Word of the incarnation that is held.
  bool TakeSame(Item& aItem, const UpstreamRecord& aRecord, Millis aHeardAt,
                const std::string& aToldBy);
  /// Word of one that started before it.
  static void TakeOlder(Item& aItem, const UpstreamRecord& aRecord,
                        Millis aHeardAt, const std::string& aToldBy);
  /// Word of one that started after it.
  bool TakeNewer(Item& aItem, const UpstreamRecord& aRecord, Millis aHeardAt,
                 const std::string& aToldBy, Millis aNow);
  /// Takes word of the same incarnation, whichever it is.
  static void TakeWord(Heard& aHeard, const UpstreamRecord& aRecord,
                       Millis aHeardAt, const std::string& aToldBy);
  void Begin(Item& aItem, Heard aHeard);
  void End(Item& aItem);
  LeaveOutcome LeaveUnnamed(const std::string& aInstance, Millis aSaidAt);
  /// Forgets an incarnation that was not heard for long; one that waits takes
  /// its place. Returns whether nothing is left.
  bool Drop(Item& aItem, Millis aNow);
  void Changed(Item& aItem);
  void EndPredecessors(const UpstreamRecord& aRecord);
  /// Takes one that is not kept any more out of mAtAddress.
  void Forget(const UpstreamRecord& aRecord);
  /// The state after word of a heartbeat.
  static UpstreamState StateAfter(const Heard& aHeard,
                                  const UpstreamRecord& aWord, Millis aHeardAt);

  std::map<std::string, Item> mItems;
  /// Instances by address, so that a successor is found without a search.
  std::map<std::string, std::set<std::string>> mAtAddress;
  std::int64_t mRevision = 0;
  std::int64_t mLastChangeRevision = 0;
  SuccessorHook mSuccessorHook;
};

}  // namespace spindleweir
