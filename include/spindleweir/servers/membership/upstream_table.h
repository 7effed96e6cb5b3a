/// Records of upstreams as they travel between our processes: one column for
/// each field, so that no name is written once a row.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// Records by columns. As objects, 3,000 records took their reader 72 ms of a
/// core, as columns 14 (`spindleweir-bench control`).
struct UpstreamTable {
  std::vector<std::string> mNames;  ///< Services, zones, kinds: see indices.
  std::vector<std::string> mInstances;
  std::vector<std::string> mAddresses;
  std::vector<int> mServices;  ///< Indices into mNames, as the next two.
  std::vector<int> mZones;
  std::vector<int> mKinds;
  std::vector<int> mSlots;
  std::vector<int> mStates;
  std::vector<int> mFroms;
  std::vector<int> mTos;
  std::vector<int> mBusy;  ///< 0 or 1.
  std::vector<std::int64_t> mSequences;
  std::vector<std::int64_t> mHeardAgo;  ///< Milliseconds.

  static UpstreamTable Of(const std::vector<UpstreamRecord>& aRecords);
  /// Throws kBadField where columns differ in length or an index is wrong.
  std::vector<UpstreamRecord> Records() const;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Required("names", mNames);
    aCodec.Required("instances", mInstances);
    aCodec.Required("addresses", mAddresses);
    aCodec.Required("services", mServices);
    aCodec.Required("zones", mZones);
    aCodec.Required("kinds", mKinds);
    aCodec.Required("slots", mSlots);
    aCodec.Required("states", mStates);
    aCodec.Required("froms", mFroms);
    aCodec.Required("tos", mTos);
    aCodec.Required("busy", mBusy);
    aCodec.Required("sequences", mSequences);
    aCodec.Required("heard_ago_ms", mHeardAgo);
  }
};

/// Heartbeats that changed nothing, by columns.
struct BeatTable {
  std::vector<std::string> mInstances;
  std::vector<std::int64_t> mSequences;
  std::vector<std::int64_t> mHeardAgo;  ///< Milliseconds.

  static BeatTable Of(const std::vector<UpstreamBeat>& aBeats);
  /// Throws kBadField where columns differ in length.
  std::vector<UpstreamBeat> Beats() const;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Sparse("instances", mInstances);
    aCodec.Sparse("sequences", mSequences);
    aCodec.Sparse("heard_ago_ms", mHeardAgo);
  }
};

/// Records as one text. Throws, on the way back, kDataCorrupt, kMalformedJson
/// or kBadField where a text is no such records.
std::string PackUpstreams(const std::vector<UpstreamRecord>& aRecords);
std::vector<UpstreamRecord> UnpackUpstreams(std::string_view aPacked);

}  // namespace spindleweir
