#include "spindleweir/drivers/disk_log.h"

#include <signal.h>
#include <sys/resource.h>

#include <fstream>
#include <vector>

#include "spindleweir/drivers/file_tools.h"
#include "spindleweir/drivers/raft_disk_storage.h"
#include "tests/test_tools.h"

using namespace spindleweir;

namespace {

std::vector<std::string> RecordsOf(const std::string& aPath) {
  std::vector<std::string> records;
  const DiskLog log(aPath, [&records](std::string_view aRecord) {
    records.emplace_back(aRecord);
  });
  return records;
}

void WriteThree(const std::string& aPath) {
  DiskLog log(aPath, [](std::string_view) {});
  for (const char* text : {"first", "second", "third"}) {
    log.Append(text);
  }
  log.Sync();
}

void WriteFile(const std::string& aPath, const std::string& aBytes) {
  std::ofstream(aPath, std::ios::binary | std::ios::trunc) << aBytes;
}

}  // namespace

Test(disk_log, a_torn_tail_is_truncated_and_other_damage_refused) {
  const TemporaryFolder folder;
  const std::string path = folder.Path("log");
  WriteThree(path);
  const std::string whole = ReadFile(path).value();
  SECTION("intact") {
    CHECK(RecordsOf(path).size() == 3);
  }
  SECTION("truncated at every length") {
    std::size_t minimum = 0;
    for (std::size_t n = 0; n <= whole.size(); n++) {
      WriteFile(path, whole.substr(0, n));
      const std::size_t count = RecordsOf(path).size();
      CHECK(count >= minimum);
      CHECK(count == 3 || n < whole.size());
      minimum = count;
    }
  }
  SECTION("allocated but unwritten space") {
    WriteFile(path, whole + std::string(64, '\0'));
    CHECK(RecordsOf(path).size() == 3);
  }
  SECTION("any changed byte before the last record") {
    const std::size_t last = whole.size() - 16 - 5;
    for (std::size_t i = 0; i < last; i++) {
      std::string bytes = whole;
      bytes[i] = static_cast<char>(bytes[i] ^ 0x20);
      WriteFile(path, bytes);
      CHECK(CodeThrownBy([&] { RecordsOf(path); }) == ResultCode::kDataCorrupt);
    }
  }
}

Test(disk_log, truncated_records_stay_removed_and_rewriting_is_atomic) {
  const TemporaryFolder folder;
  const std::string path = folder.Path("log");
  WriteThree(path);
  const std::string whole = ReadFile(path).value();
  WriteFile(path, whole.substr(0, whole.size() - 1));
  {
    DiskLog log(path, [](std::string_view) {});
    log.Append("fourth");
    log.Sync();
  }
  CHECK(RecordsOf(path) ==
        std::vector<std::string>({"first", "second", "fourth"}));
  {
    DiskLog log(path, [](std::string_view) {});
    log.Rewrite([](DiskLog& aLog) { aLog.Append("only"); });
    log.Append("next");
    log.Sync();
  }
  CHECK(RecordsOf(path) == std::vector<std::string>({"only", "next"}));
}

Test(disk_log, a_full_disk_disables_the_log) {
  const TemporaryFolder folder;
  DiskLog log(folder.Path("log"), [](std::string_view) {});
  // The limit simulates a full disk: writing beyond it fails.
  signal(SIGXFSZ, SIG_IGN);
  const rlimit limit{4096, 4096};
  REQUIRE(setrlimit(RLIMIT_FSIZE, &limit) == 0);
  log.Append(std::string(8192, 'x'));
  CHECK(CodeThrownBy([&] { log.Sync(); }) == ResultCode::kStorageFailed);
  SECTION("later calls fail too, even with free space") {
    CHECK(CodeThrownBy([&] { log.Append("small"); }) ==
          ResultCode::kStorageFailed);
    CHECK(CodeThrownBy([&] { log.Sync(); }) == ResultCode::kStorageFailed);
  }
}

Test(raft_disk_storage, state_entries_and_snapshot_are_restored) {
  const TemporaryFolder folder;
  const std::string path = folder.Path("raft.log");
  EventLoop loop;
  const LogWriterHooks hooks{.mOnProgress = [] {}};
  {
    RaftDiskStorage storage(loop, OpenRaftLog(path), hooks);
    CHECK(storage.Empty());
    storage.SaveHardState({.mTerm = 3, .mVotedFor = "a"});
    const std::vector<LogEntry> entries = {{1, 1, "x", {}}, {2, 1, "y", {}}};
    storage.Append(entries);
    // A later leader replaces the second one.
    const std::vector<LogEntry> replaced = {{2, 3, "z", {}}};
    storage.Append(replaced);
    REQUIRE(RunLoopUntil(loop, [&] { return storage.DurableWrites() == 3; }));
  }
  {
    RaftDiskStorage storage(loop, OpenRaftLog(path), hooks);
    const DurableState state = storage.Load();
    CHECK(state.mHardState.mTerm == 3 && state.mHardState.mVotedFor == "a");
    REQUIRE(state.mEntries.size() == 2);
    CHECK(state.mEntries[1].mPayload == "z");
    const std::vector<LogEntry> rest = {{3, 3, "r", {}}};
    storage.SaveSnapshot({.mIndex = 2, .mTerm = 3, .mData = "state"}, rest,
                         {.mTerm = 4});
    REQUIRE(RunLoopUntil(loop, [&] { return storage.DurableWrites() == 1; }));
  }
  RaftDiskStorage storage(loop, OpenRaftLog(path), hooks);
  const DurableState state = storage.Load();
  CHECK(state.mSnapshot.mIndex == 2 && state.mSnapshot.mData == "state");
  CHECK(state.mHardState.mTerm == 4);
  CHECK(state.mEntries.size() == 1);
}
