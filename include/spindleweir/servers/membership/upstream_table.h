/// Records of upstreams as they travel between our processes: one column for
/// each field, so that no name is written once a row. On the way back a row
/// that cannot be used is told to a hook and left out, and so are those beyond
/// the end of the shortest column; the others hold. Without a hook they are
/// thrown.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/servers/membership/upstream_check.h"
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
  std::vector<std::int64_t> mLastSeenAgo;  ///< Milliseconds.
  /// Empty: none are told, as by processes of the former version.
  std::vector<std::int64_t> mStarts;

  static UpstreamTable Of(const std::vector<UpstreamRecord>& aRecords);
  std::vector<UpstreamRecord> Records(const InvalidRowHook& aOnBad = {}) const;
  /// Throws kBadField.
  UpstreamRecord RecordAt(std::size_t aRow) const;

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
    aCodec.Required("heard_ago_ms", mLastSeenAgo);
    aCodec.Field("starts", mStarts);
  }
};

/// Heartbeats that changed nothing, by columns.
struct HeartbeatTable {
  std::vector<std::string> mInstances;
  std::vector<std::int64_t> mSequences;
  std::vector<std::int64_t> mLastSeenAgo;  ///< Milliseconds.
  std::vector<std::int64_t> mStarts;       ///< As in UpstreamTable.

  static HeartbeatTable Of(const std::vector<UpstreamHeartbeat>& aBeats);
  std::vector<UpstreamHeartbeat> Heartbeats(
      const InvalidRowHook& aOnBad = {}) const;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Sparse("instances", mInstances);
    aCodec.Sparse("sequences", mSequences);
    aCodec.Sparse("heard_ago_ms", mLastSeenAgo);
    aCodec.Sparse("starts", mStarts);
  }
};

/// The heartbeats of a table in a message; none where there is no table. Throws
/// kBadField where it is none at all.
std::vector<UpstreamHeartbeat> ReadHeartbeats(
    const Json::Value& aTable, const InvalidRowHook& aOnBad = {});

/// Records as one text. Throws, on the way back, kDataCorrupt, kMalformedJson
/// or kBadField where a text is no table at all.
std::string PackUpstreams(const std::vector<UpstreamRecord>& aRecords);
std::vector<UpstreamRecord> UnpackUpstreams(std::string_view aPacked,
                                            const InvalidRowHook& aOnBad = {});

/// Rows of a list in a message, each an object.
template <class T>
std::vector<T> ReadRows(const std::vector<Json::Value>& aRows,
                        const InvalidRowHook& aOnBad = {}) {
  std::vector<T> read;
  read.reserve(aRows.size());
  for (const Json::Value& row : aRows) {
    std::string instance;
    try {
      T item = FromJson<T>(row);
      instance = item.mInstance;
      RequireUsable(item);
      read.push_back(std::move(item));
    } catch (const Error& error) {
      if (!aOnBad) {
        throw;
      }
      aOnBad(instance, error);
    }
  }
  return read;
}

template <class T>
std::vector<Json::Value> WriteRows(const std::vector<T>& aItems) {
  std::vector<Json::Value> rows;
  rows.reserve(aItems.size());
  for (const T& item : aItems) {
    rows.push_back(ToJson(item));
  }
  return rows;
}

}  // namespace spindleweir
