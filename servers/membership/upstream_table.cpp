#include "spindleweir/servers/membership/upstream_table.h"

#include <algorithm>
#include <unordered_map>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
#include "spindleweir/core/loose_columns.h"
#include "spindleweir/core/packing.h"

namespace spindleweir {

namespace {

/// Gives each name one number.
class NameBook {
 public:
  explicit NameBook(std::vector<std::string>& aNames) : mNames(aNames) {}

  int NumberOf(const std::string& aName) {
    const auto [it, fresh] =
        mNumbers.try_emplace(aName, static_cast<int>(mNames.size()));
    if (fresh) {
      mNames.push_back(aName);
    }
    return it->second;
  }

 private:
  std::vector<std::string>& mNames;
  std::unordered_map<std::string, int> mNumbers;
};

const std::string& NameAt(const std::vector<std::string>& aNames, int aNumber) {
  if (aNumber < 0 || static_cast<std::size_t>(aNumber) >= aNames.size()) {
    throw Error(ResultCode::kBadField, "a name of an upstream is missing");
  }
  return aNames[static_cast<std::size_t>(aNumber)];
}

UpstreamState StateAt(int aState) {
  if (aState < static_cast<int>(UpstreamState::kReady) ||
      aState > static_cast<int>(UpstreamState::kGone)) {
    throw Error(ResultCode::kBadField, "no state of an upstream");
  }
  return static_cast<UpstreamState>(aState);
}

/// Rows that all columns have, and that any has. Where one is shorter, it is
/// not known which of its values is missing: those before its end are taken as
/// they stand, since our processes write columns from their start.
struct RowCount {
  std::size_t mWhole = 0;
  std::size_t mAny = 0;
};

template <class... Columns>
RowCount CountRows(const Columns&... aColumns) {
  return {std::min({aColumns.size()...}), std::max({aColumns.size()...})};
}

void TellBad(const InvalidRowHook& aOnBad, const std::string& aInstance,
             const Error& aWhy) {
  if (!aOnBad) {
    throw aWhy;
  }
  aOnBad(aInstance, aWhy);
}

void TellShort(const InvalidRowHook& aOnBad, const RowCount& aCount,
               const std::vector<std::string>& aInstances) {
  for (std::size_t i = aCount.mWhole; i < aCount.mAny; i++) {
    TellBad(aOnBad, i < aInstances.size() ? aInstances[i] : "",
            Error(ResultCode::kBadField, "a column has no such row"));
  }
}

/// Where no upstream tells its start the column need not travel.
void DropIfNone(std::vector<std::int64_t>& aStarts) {
  const bool none =
      std::all_of(aStarts.begin(), aStarts.end(),
                  [](std::int64_t aStart) { return aStart == 0; });
  if (none) {
    aStarts.clear();
  }
}

/// A start from a column that may be missing as a whole.
std::int64_t StartAt(const std::vector<std::int64_t>& aStarts,
                     std::size_t aRow) {
  return aStarts.empty() ? 0 : aStarts[aRow];
}

/// Reading value by value costs several times as much, and is for tables that
/// need it only.
template <class Table>
Table ReadTable(const Json::Value& aJson) {
  try {
    return FromJson<Table>(aJson);
  } catch (const Error&) {
    Table table;
    LooseColumns columns(aJson);
    table.Fields(columns);
    return table;
  }
}

}  // namespace

UpstreamTable UpstreamTable::Of(const std::vector<UpstreamRecord>& aRecords) {
  UpstreamTable table;
  NameBook names(table.mNames);
  for (const UpstreamRecord& record : aRecords) {
    table.mInstances.push_back(record.mInstance);
    table.mAddresses.push_back(record.mAddress);
    table.mServices.push_back(names.NumberOf(record.mService));
    table.mZones.push_back(names.NumberOf(record.mZone));
    table.mKinds.push_back(names.NumberOf(record.mKind));
    table.mSlots.push_back(record.mSlots);
    table.mStates.push_back(static_cast<int>(record.mState));
    table.mFroms.push_back(record.mLayers.mFrom);
    table.mTos.push_back(record.mLayers.mTo);
    table.mBusy.push_back(record.mBusy ? 1 : 0);
    table.mSequences.push_back(record.mSequence);
    table.mLastSeenAgo.push_back(record.mLastSeenAgo);
    table.mStarts.push_back(record.mStart);
  }
  DropIfNone(table.mStarts);
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
    const InvalidRowHook& aOnBad) const {
  const std::vector<std::int64_t>& starts =
      mStarts.empty() ? mSequences : mStarts;
  const RowCount count =
      CountRows(mInstances, mAddresses, mServices, mZones, mKinds, mSlots,
                mStates, mFroms, mTos, mBusy, mSequences, mLastSeenAgo, starts);
  std::vector<UpstreamRecord> records;
  records.reserve(count.mWhole);
  for (std::size_t i = 0; i < count.mWhole; i++) {
    try {
      UpstreamRecord record = RecordAt(i);
      RequireUsable(record);
      records.push_back(std::move(record));
    } catch (const Error& error) {
      TellBad(aOnBad, mInstances[i], error);
    }
  }
  TellShort(aOnBad, count, mInstances);
  return records;
}

HeartbeatTable HeartbeatTable::Of(
    const std::vector<UpstreamHeartbeat>& aBeats) {
  HeartbeatTable table;
  for (const UpstreamHeartbeat& beat : aBeats) {
    table.mInstances.push_back(beat.mInstance);
    table.mSequences.push_back(beat.mSequence);
    table.mLastSeenAgo.push_back(beat.mLastSeenAgo);
    table.mStarts.push_back(beat.mStart);
  }
  DropIfNone(table.mStarts);
  return table;
}

std::vector<UpstreamHeartbeat> HeartbeatTable::Heartbeats(
    const InvalidRowHook& aOnBad) const {
  const std::vector<std::int64_t>& starts =
      mStarts.empty() ? mSequences : mStarts;
  const RowCount count =
      CountRows(mInstances, mSequences, mLastSeenAgo, starts);
  std::vector<UpstreamHeartbeat> beats;
  beats.reserve(count.mWhole);
  for (std::size_t i = 0; i < count.mWhole; i++) {
    const UpstreamHeartbeat beat{mInstances[i], mSequences[i], mLastSeenAgo[i],
                                 StartAt(mStarts, i)};
    try {
      RequireUsable(beat);
      beats.push_back(beat);
    } catch (const Error& error) {
      TellBad(aOnBad, beat.mInstance, error);
    }
  }
  TellShort(aOnBad, count, mInstances);
  return beats;
}

std::vector<UpstreamHeartbeat> ReadHeartbeats(const Json::Value& aTable,
                                              const InvalidRowHook& aOnBad) {
  if (aTable.isNull()) {
    return {};
  }
  return ReadTable<HeartbeatTable>(aTable).Heartbeats(aOnBad);
}

std::string PackUpstreams(const std::vector<UpstreamRecord>& aRecords) {
  return Pack(DumpJson(ToJson(UpstreamTable::Of(aRecords))));
}

std::vector<UpstreamRecord> UnpackUpstreams(std::string_view aPacked,
                                            const InvalidRowHook& aOnBad) {
  const std::string text = Unpack(aPacked, kMostUnpacked);
  return ReadTable<UpstreamTable>(ParseJson(text)).Records(aOnBad);
}

}  // namespace spindleweir
