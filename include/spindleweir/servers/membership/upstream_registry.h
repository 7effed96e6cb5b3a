/// The upstreams that reported to control: their incarnations, states and
/// layers, ordered by the sequence numbers of their heartbeats.
#pragma once

#include <cstdint>
#include <map>
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

/// One incarnation of an upstream.
struct UpstreamRecord {
  std::string mInstance;  ///< New at each start.
  std::string mService;
  std::string mAddress;  ///< "IP:PORT".
  std::string mZone;
  std::string mKind;  ///< Of accelerator; empty for plain services.
  int mSlots = 0;
  UpstreamState mState = UpstreamState::kReady;
  std::int64_t mSequence = 0;  ///< Of the newest heartbeat.
  LayerRange mLayers;
  bool mBusy = false;    ///< An order is under way, as far as is known.
  Millis mHeardAgo = 0;  ///< Since the newest heartbeat, when sent.

  template <class Codec>
  void Fields(Codec& aCodec) {
    int state = static_cast<int>(mState);
    aCodec.Required("instance", mInstance);
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
    aCodec.Field("heard_ago_ms", mHeardAgo);
  }
};

/// A heartbeat that told nothing new.
struct UpstreamBeat {
  std::string mInstance;
  std::int64_t mSequence = 0;
  Millis mHeardAgo = 0;  ///< When sent.
};

/// An upstream that a process holds for silent, by what it knows.
struct SilentUpstream {
  std::string mInstance;
  std::int64_t mSequence = 0;  ///< Of the newest heartbeat known.

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("instance", mInstance);
    aCodec.Required("sequence", mSequence);
  }
};

/// The registry of one control process; also what a router knows of all
/// registries together. Decisions only: the time comes with each call.
class UpstreamRegistry {
 public:
  /// Takes a heartbeat; one that was overtaken changes nothing. Returns
  /// whether the record is new or changed for routers.
  bool Beat(const UpstreamRecord& aRecord, Millis aNow);
  /// The incarnation has left; its later heartbeats count for nothing.
  bool Leave(const std::string& aInstance, Millis aNow);
  /// Takes what another registry knows. aToldBy: the control process that it
  /// is of; empty: a router that took the heartbeat, which counts as heard
  /// here.
  bool Merge(const UpstreamRecord& aRecord, Millis aNow,
             const std::string& aToldBy = "");
  /// Takes a heartbeat that another process heard and that told it nothing new.
  /// Returns whether the record changed for routers: one held for silent is
  /// ready again. An instance that is not known changes nothing.
  bool Touch(const UpstreamBeat& aBeat, Millis aNow,
             const std::string& aToldBy = "");
  /// Marks those silent that were not heard for aSilence, and forgets those
  /// that are gone or silent for long. Returns those that are silent now.
  std::vector<UpstreamRecord> Expire(Millis aSilence, Millis aNow);

  /// The revision of the newest word.
  std::int64_t Revision() const { return mRevision; }
  /// The revision of the newest that was more than a heartbeat.
  std::int64_t NewestChange() const { return mNewestChange; }
  /// The records changed after a revision.
  std::vector<UpstreamRecord> ChangedSince(std::int64_t aRevision,
                                           Millis aNow) const;
  /// Those heard after a revision, for another registry that knows the changes
  /// up to aKnown. Who changed later than that is left out: a heartbeat must
  /// not be known before what it told. Left out, too, are those that were told
  /// here by controls that who asks hears itself (aHears): told on by each of
  /// five, 2,500 heartbeats a second took a third of a control.
  std::vector<UpstreamBeat> BeatsSince(
      std::int64_t aRevision, std::int64_t aKnown, Millis aNow,
      const std::set<std::string>& aHears = {}) const;

  std::vector<SilentUpstream> Silent() const;
  /// Those of a list that were heard here later than the list knows, and
  /// within aWithin: where control is split, heartbeats reach either part.
  std::vector<UpstreamRecord> HeardLater(
      const std::vector<SilentUpstream>& aSilent, Millis aWithin,
      Millis aNow) const;

  const UpstreamRecord* Find(const std::string& aInstance) const;
  /// All records of a service, or of all where it is empty.
  std::vector<const UpstreamRecord*> OfService(
      const std::string& aService) const;
  std::size_t Size() const { return mItems.size(); }

 private:
  struct Item {
    UpstreamRecord mRecord;
    /// Of the heartbeat whose content mRecord has; a heartbeat that was only
    /// heard of may be newer.
    std::int64_t mContentOf = 0;
    Millis mHeardAt = 0;
    std::string mToldBy;  ///< Who told of the newest heartbeat; empty: heard.
    std::int64_t mChangedAt = 0;  ///< Revision of the last change.
    std::int64_t mTouchedAt = 0;  ///< Revision of the last heartbeat.
  };

  bool Take(const UpstreamRecord& aRecord, Millis aHeardAt,
            const std::string& aToldBy);
  void EndPredecessors(const UpstreamRecord& aRecord);
  /// Takes one that is not kept any more out of mAtAddress.
  void Forget(const UpstreamRecord& aRecord);
  /// The state after word of a heartbeat.
  static UpstreamState StateAfter(const Item& aItem,
                                  const UpstreamRecord& aWord, Millis aHeardAt);

  std::map<std::string, Item> mItems;
  /// Instances by address, so that a successor is found without a search.
  std::map<std::string, std::set<std::string>> mAtAddress;
  std::int64_t mRevision = 0;
  std::int64_t mNewestChange = 0;
};

}  // namespace spindleweir
