#include "spindleweir/drivers/raft_disk_storage.h"

#include "spindleweir/core/json_codec.h"

namespace spindleweir {

namespace {

template <class T>
std::string MakeRecord(const char* aKind, const T& aContent) {
  Json::Value record(Json::objectValue);
  record[aKind] = ToJson(aContent);
  return DumpJson(record);
}

}  // namespace

OpenRaftLog::OpenRaftLog(const std::string& aPath,
                         const std::vector<std::string>& aInitialVoters) {
  mLog = std::make_unique<DiskLog>(
      aPath, [this](std::string_view aRecord) { Replay(aRecord); });
  if (mEmpty && !aInitialVoters.empty()) {
    // A restart may pass no voters.
    mState.mSnapshot.mVoters = aInitialVoters;
    mLog->Append(MakeRecord("snapshot", mState.mSnapshot));
    mLog->Sync();
  }
}

void OpenRaftLog::Replay(std::string_view aRecord) {
  mEmpty = false;
  try {
    const Json::Value record = ParseJson(aRecord);
    if (record.isMember("state")) {
      mState.mHardState = FromJson<HardState>(record["state"]);
    } else if (record.isMember("snapshot")) {
      mState.mSnapshot = FromJson<Snapshot>(record["snapshot"]);
      mState.mEntries.clear();
    } else {
      auto entry = FromJson<LogEntry>(record["entry"]);
      const std::int64_t position = entry.mIndex - mState.mSnapshot.mIndex - 1;
      if (position < 0 ||
          position > static_cast<std::int64_t>(mState.mEntries.size())) {
        throw Error(ResultCode::kDataCorrupt,
                    "the entries are not consecutive");
      }
      mState.mEntries.resize(static_cast<std::size_t>(position));
      mState.mEntries.push_back(std::move(entry));
    }
  } catch (const Error& error) {
    throw Error(ResultCode::kDataCorrupt,
                std::string("replicated log: ") + error.what());
  }
}

RaftDiskStorage::RaftDiskStorage(EventLoop& aLoop, OpenRaftLog aLog,
                                 LogWriterHooks aHooks)
    : mState(std::move(aLog.mState)),
      mEmpty(aLog.mEmpty),
      mWriter(aLoop, std::move(aLog.mLog), std::move(aHooks)) {}

void RaftDiskStorage::SaveHardState(const HardState& aState) {
  mWriter.Append({MakeRecord("state", aState)});
}

void RaftDiskStorage::Append(std::span<const LogEntry> aEntries) {
  std::vector<std::string> records;
  for (const LogEntry& entry : aEntries) {
    records.push_back(MakeRecord("entry", entry));
  }
  mWriter.Append(std::move(records));
}

void RaftDiskStorage::SaveSnapshot(const Snapshot& aSnapshot,
                                   std::span<const LogEntry> aNewerEntries,
                                   const HardState& aState) {
  std::vector<std::string> records{MakeRecord("state", aState),
                                   MakeRecord("snapshot", aSnapshot)};
  for (const LogEntry& entry : aNewerEntries) {
    records.push_back(MakeRecord("entry", entry));
  }
  mWriter.Replace(std::move(records));
}

std::int64_t RaftDiskStorage::DurableWrites() {
  if (mWriter.Failure().has_value()) {
    throw Error(*mWriter.Failure());
  }
  return mWriter.Durable();
}

}  // namespace spindleweir
