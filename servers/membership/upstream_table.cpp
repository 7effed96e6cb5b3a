#include "spindleweir/servers/membership/upstream_table.h"

#include <unordered_map>

#include "spindleweir/core/error.h"
#include "spindleweir/core/json_codec.h"
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

void RequireRows(std::size_t aColumn, std::size_t aRows) {
  if (aColumn != aRows) {
    throw Error(ResultCode::kBadField, "columns of upstreams differ in length");
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
    table.mHeardAgo.push_back(record.mHeardAgo);
  }
  return table;
}

std::vector<UpstreamRecord> UpstreamTable::Records() const {
  const std::size_t n = mInstances.size();
  for (const auto* column : {&mServices, &mZones, &mKinds, &mSlots, &mStates,
                             &mFroms, &mTos, &mBusy}) {
    RequireRows(column->size(), n);
  }
  RequireRows(mAddresses.size(), n);
  RequireRows(mSequences.size(), n);
  RequireRows(mHeardAgo.size(), n);
  std::vector<UpstreamRecord> records;
  records.reserve(n);
  for (std::size_t i = 0; i < n; i++) {
    records.push_back({.mInstance = mInstances[i],
                       .mService = NameAt(mNames, mServices[i]),
                       .mAddress = mAddresses[i],
                       .mZone = NameAt(mNames, mZones[i]),
                       .mKind = NameAt(mNames, mKinds[i]),
                       .mSlots = mSlots[i],
                       .mState = StateAt(mStates[i]),
                       .mSequence = mSequences[i],
                       .mLayers = {mFroms[i], mTos[i]},
                       .mBusy = mBusy[i] != 0,
                       .mHeardAgo = mHeardAgo[i]});
  }
  return records;
}

BeatTable BeatTable::Of(const std::vector<UpstreamBeat>& aBeats) {
  BeatTable table;
  for (const UpstreamBeat& beat : aBeats) {
    table.mInstances.push_back(beat.mInstance);
    table.mSequences.push_back(beat.mSequence);
    table.mHeardAgo.push_back(beat.mHeardAgo);
  }
  return table;
}

std::vector<UpstreamBeat> BeatTable::Beats() const {
  const std::size_t n = mInstances.size();
  RequireRows(mSequences.size(), n);
  RequireRows(mHeardAgo.size(), n);
  std::vector<UpstreamBeat> beats;
  beats.reserve(n);
  for (std::size_t i = 0; i < n; i++) {
    beats.push_back({mInstances[i], mSequences[i], mHeardAgo[i]});
  }
  return beats;
}

std::string PackUpstreams(const std::vector<UpstreamRecord>& aRecords) {
  return Pack(DumpJson(ToJson(UpstreamTable::Of(aRecords))));
}

std::vector<UpstreamRecord> UnpackUpstreams(std::string_view aPacked) {
  const std::string text = Unpack(aPacked, kMostUnpacked);
  return FromJson<UpstreamTable>(ParseJson(text)).Records();
}

}  // namespace spindleweir
