/// The upstreams that reported to control: their incarnations, states and
/// layers, ordered by the sequence numbers of their heartbeats.
#pragma once

#include <cstdint>
#include <map>
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
  /// Takes what another registry knows.
  bool Merge(const UpstreamRecord& aRecord, Millis aNow);
  /// Marks those silent that were not heard for aSilence, and forgets those
  /// that are gone or silent for long. Returns those that are silent now.
  std::vector<UpstreamRecord> Expire(Millis aSilence, Millis aNow);

  /// The revision of the newest change.
  std::int64_t Revision() const { return mRevision; }
  /// The records changed after a revision; aHeartbeats: also those that were
  /// only heard again, for another registry.
  std::vector<UpstreamRecord> ChangedSince(std::int64_t aRevision,
                                           bool aHeartbeats, Millis aNow) const;

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
    Millis mHeardAt = 0;
    std::int64_t mChangedAt = 0;  ///< Revision of the last change.
    std::int64_t mTouchedAt = 0;  ///< Revision of the last heartbeat.
  };

  bool Take(const UpstreamRecord& aRecord, Millis aHeardAt);
  void EndPredecessors(const UpstreamRecord& aRecord);

  std::map<std::string, Item> mItems;
  std::int64_t mRevision = 0;
};

}  // namespace spindleweir
