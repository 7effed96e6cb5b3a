/// The format of upstream records between routers and controls: one column for
/// each field, so that field names are not repeated in each row. When a table
/// is read, rows that are invalid or lie beyond the end of the shortest column
/// are passed to a hook and left out; the others stay valid. Without a hook the
/// first such row throws.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/servers/membership/upstream_check.h"
#include "spindleweir/servers/membership/upstream_registry.h"

namespace spindleweir {

/// Records by columns. Reading 3,000 records takes 14 ms of a core by columns
/// and 72 ms as objects (`spindleweir-bench control`).
struct UpstreamTable {
  std::vector<std::string> mNames;  ///< Of services, zones and kinds.
  std::vector<std::string> mInstances;
  std::vector<std::string> mAddresses;
  std::vector<int> mServices;  ///< Indices into mNames, as are the next two.
  std::vector<int> mZones;
  std::vector<int> mKinds;
  std::vector<int> mSlots;
  std::vector<int> mStates;
  std::vector<int> mFroms;
  std::vector<int> mTos;
  std::vector<int> mBusy;  ///< 0 or 1.
  std::vector<std::int64_t> mSequences;
  std::vector<std::int64_t> mLastSeenAgo;  ///< Milliseconds.
  /// Empty: no upstream has one, or the sender has the former version.
  std::vector<std::int64_t> mStarts;

  static UpstreamTable Of(const std::vector<UpstreamRecord>& aRecords);
  std::vector<UpstreamRecord> Records(
      const InvalidRowHook& aOnInvalid = {}) const;
  /// Throws kBadField if an index, a state or a flag is out of range.
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

/// Heartbeats without changes, by columns.
struct HeartbeatTable {
  std::vector<std::string> mInstances;
  std::vector<std::int64_t> mSequences;
  std::vector<std::int64_t> mLastSeenAgo;  ///< Milliseconds.
  std::vector<std::int64_t> mStarts;       ///< As in UpstreamTable.

  static HeartbeatTable Of(const std::vector<UpstreamHeartbeat>& aHeartbeats);
  std::vector<UpstreamHeartbeat> Heartbeats(
      const InvalidRowHook& aOnInvalid = {}) const;

  template <class Codec>
  void Fields(Codec& aCodec) {
    aCodec.Sparse("instances", mInstances);
    aCodec.Sparse("sequences", mSequences);
    aCodec.Sparse("heard_ago_ms", mLastSeenAgo);
    aCodec.Sparse("starts", mStarts);
  }
};

/// The heartbeats of a table in a message; none if the table is null. Throws
/// kBadField if aTable is not a table.
std::vector<UpstreamHeartbeat> ReadHeartbeats(
    const Json::Value& aTable, const InvalidRowHook& aOnInvalid = {});

/// Packs records into one text.
std::string PackUpstreams(const std::vector<UpstreamRecord>& aRecords);
/// Throws kDataCorrupt, kMalformedJson or kBadField if the text is not a table.
std::vector<UpstreamRecord> UnpackUpstreams(
    std::string_view aPacked, const InvalidRowHook& aOnInvalid = {});

/// Reads the rows of a list in a message, each of which is an object.
template <class T>
std::vector<T> ReadRows(const std::vector<Json::Value>& aRows,
                        const InvalidRowHook& aOnInvalid = {}) {
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
      if (!aOnInvalid) {
        throw;
      }
      aOnInvalid(instance, error);
    }
  }
  return read;
}

/// The list that ReadRows reads.
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
