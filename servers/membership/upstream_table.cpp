#include "spindleweir/servers/membership/upstream_table.h"

#include <algorithm>
#include <unordered_map>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/lenient_columns.h"
#include "spindleweir/core/packing.h"

namespace spindleweir {

namespace {

/// Assigns an index to each distinct name.
class NameIndex {
 public:
  explicit NameIndex(std::vector<std::string>& aNames) : mNames(aNames) {}

  int IndexOf(const std::string& aName) {
    const auto [it, isNew] =
        mIndices.try_emplace(aName, static_cast<int>(mNames.size()));
    if (isNew) {
      mNames.push_back(aName);
    }
    return it->second;
  }

 private:
  std::vector<std::string>& mNames;
  std::unordered_map<std::string, int> mIndices;
};

const std::string& NameAt(const std::vector<std::string>& aNames, int aIndex) {
  if (aIndex < 0 || static_cast<std::size_t>(aIndex) >= aNames.size()) {
    throw Error(ResultCode::kBadField,
                "the index of a name of an upstream is out of range");
  }
  return aNames[static_cast<std::size_t>(aIndex)];
}

UpstreamState StateAt(int aState) {
  if (aState < static_cast<int>(UpstreamState::kReady) ||
      aState > static_cast<int>(UpstreamState::kGone)) {
    throw Error(ResultCode::kBadField,
                "the state of an upstream must be from 0 to 3");
  }
  return static_cast<UpstreamState>(aState);
}

/// Rows that all columns have, and that any column has. If a column is shorter,
/// it is unknown which of its values is missing. The values before its end are
/// used as they are, since columns are written from their start.
struct RowCount {
  std::size_t mComplete = 0;
  std::size_t mTotal = 0;
};

template <class... Columns>
RowCount CountRows(const Columns&... aColumns) {
  return {std::min({aColumns.size()...}), std::max({aColumns.size()...})};
}

void ReportInvalidRow(const InvalidRowHook& aOnInvalid,
                      const std::string& aInstance, const Error& aWhy) {
  if (!aOnInvalid) {
    throw aWhy;
  }
  aOnInvalid(aInstance, aWhy);
}

void ReportMissingRows(const InvalidRowHook& aOnInvalid, const RowCount& aCount,
                       const std::vector<std::string>& aInstances) {
  for (std::size_t i = aCount.mComplete; i < aCount.mTotal; i++) {
    ReportInvalidRow(
        aOnInvalid, i < aInstances.size() ? aInstances[i] : "",
        Error(ResultCode::kBadField, "a column ends before this row"));
  }
}

/// The column of starts is not sent if no upstream has one.
void ClearIfAllZero(std::vector<std::int64_t>& aStarts) {
  const bool allZero =
      std::all_of(aStarts.begin(), aStarts.end(),
                  [](std::int64_t aStart) { return aStart == 0; });
  if (allZero) {
    aStarts.clear();
  }
}

/// A start from a column that may be empty.
std::int64_t StartAt(const std::vector<std::int64_t>& aStarts,
                     std::size_t aRow) {
  return aStarts.empty() ? 0 : aStarts[aRow];
}

/// Reads a table. Reading value by value costs several times as much and is
/// done only if the table has a value of a wrong type.
template <class Table>
Table ReadTable(const Json::Value& aJson) {
  try {
    return FromJson<Table>(aJson);
  } catch (const Error&) {
    Table table;
    LenientColumns columns(aJson);
    table.Fields(columns);
    return table;
  }
}

}  // namespace

UpstreamTable UpstreamTable::Of(const std::vector<UpstreamRecord>& aRecords) {
  UpstreamTable table;
  NameIndex names(table.mNames);
  for (const UpstreamRecord& record : aRecords) {
    table.mInstances.push_back(record.mInstance);
    table.mAddresses.push_back(record.mAddress);
    table.mServices.push_back(names.IndexOf(record.mService));
    table.mZones.push_back(names.IndexOf(record.mZone));
    table.mKinds.push_back(names.IndexOf(record.mKind));
    table.mSlots.push_back(record.mSlots);
    table.mStates.push_back(static_cast<int>(record.mState));
    table.mFroms.push_back(record.mLayers.mFrom);
    table.mTos.push_back(record.mLayers.mTo);
    table.mBusy.push_back(record.mBusy ? 1 : 0);
    table.mSequences.push_back(record.mSequence);
    table.mLastSeenAgo.push_back(record.mLastSeenAgo);
    table.mStarts.push_back(record.mStart);
  }
  ClearIfAllZero(table.mStarts);
  return table;
}

UpstreamRecord UpstreamTable::RecordAt(std::size_t aRow) const {
  if (mBusy[aRow] != 0 && mBusy[aRow] != 1) {
    throw Error(ResultCode::kBadField, "busy must be 0 or 1");
  }
  return {.mInstance = mInstances[aRow],
          .mStart = StartAt(mStarts, aRow),
          .mService = NameAt(mNames, mServices[aRow]),
          .mAddress = mAddresses[aRow],
          .mZone = NameAt(mNames, mZones[aRow]),
          .mKind = NameAt(mNames, mKinds[aRow]),
          .mSlots = mSlots[aRow],
          .mState = StateAt(mStates[aRow]),
          .mSequence = mSequences[aRow],
          .mLayers = {mFroms[aRow], mTos[aRow]},
          .mBusy = mBusy[aRow] != 0,
          .mLastSeenAgo = mLastSeenAgo[aRow]};
}

std::vector<UpstreamRecord> UpstreamTable::Records(
    const InvalidRowHook& aOnInvalid) const {
  const std::vector<std::int64_t>& starts =
      mStarts.empty() ? mSequences : mStarts;
  const RowCount count =
      CountRows(mInstances, mAddresses, mServices, mZones, mKinds, mSlots,
                mStates, mFroms, mTos, mBusy, mSequences, mLastSeenAgo, starts);
  std::vector<UpstreamRecord> records;
  records.reserve(count.mComplete);
  for (std::size_t i = 0; i < count.mComplete; i++) {
    try {
      UpstreamRecord record = RecordAt(i);
      RequireUsable(record);
      records.push_back(std::move(record));
    } catch (const Error& error) {
      ReportInvalidRow(aOnInvalid, mInstances[i], error);
    }
  }
  ReportMissingRows(aOnInvalid, count, mInstances);
  return records;
}

HeartbeatTable HeartbeatTable::Of(
    const std::vector<UpstreamHeartbeat>& aHeartbeats) {
  HeartbeatTable table;
  for (const UpstreamHeartbeat& heartbeat : aHeartbeats) {
    table.mInstances.push_back(heartbeat.mInstance);
    table.mSequences.push_back(heartbeat.mSequence);
    table.mLastSeenAgo.push_back(heartbeat.mLastSeenAgo);
    table.mStarts.push_back(heartbeat.mStart);
  }
  ClearIfAllZero(table.mStarts);
  return table;
}

std::vector<UpstreamHeartbeat> HeartbeatTable::Heartbeats(
    const InvalidRowHook& aOnInvalid) const {
  const std::vector<std::int64_t>& starts =
      mStarts.empty() ? mSequences : mStarts;
  const RowCount count =
      CountRows(mInstances, mSequences, mLastSeenAgo, starts);
  std::vector<UpstreamHeartbeat> heartbeats;
  heartbeats.reserve(count.mComplete);
  for (std::size_t i = 0; i < count.mComplete; i++) {
    const UpstreamHeartbeat heartbeat{mInstances[i], mSequences[i],
                                      mLastSeenAgo[i], StartAt(mStarts, i)};
    try {
      RequireUsable(heartbeat);
      heartbeats.push_back(heartbeat);
    } catch (const Error& error) {
      ReportInvalidRow(aOnInvalid, heartbeat.mInstance, error);
    }
  }
  ReportMissingRows(aOnInvalid, count, mInstances);
  return heartbeats;
}

std::vector<UpstreamHeartbeat> ReadHeartbeats(
    const Json::Value& aTable, const InvalidRowHook& aOnInvalid) {
  if (aTable.isNull()) {
    return {};
  }
  return ReadTable<HeartbeatTable>(aTable).Heartbeats(aOnInvalid);
}

std::string PackUpstreams(const std::vector<UpstreamRecord>& aRecords) {
  return Pack(DumpJson(ToJson(UpstreamTable::Of(aRecords))));
}

std::vector<UpstreamRecord> UnpackUpstreams(std::string_view aPacked,
                                            const InvalidRowHook& aOnInvalid) {
  const std::string text = Unpack(aPacked, kMaxUnpackedBytes);
  return ReadTable<UpstreamTable>(ParseJson(text)).Records(aOnInvalid);
}

}  // namespace spindleweir
