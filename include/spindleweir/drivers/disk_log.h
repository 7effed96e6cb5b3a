/// An append-only file of checksummed records. A torn tail, as a crash in
/// mid-write leaves it, is cut at opening; any other damage is refused.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace spindleweir {

/// One log file. Record: 4 bytes length, 4 bytes checksum of the length,
/// 8 bytes xxHash64 of the payload, payload; numbers little-endian.
class DiskLog {
 public:
  /// Opens or makes the file and gives each record, oldest first, to aRecord.
  /// Throws kDataCorrupt or kStorageFailed.
  DiskLog(std::string aPath,
          const std::function<void(std::string_view)>& aRecord);
  ~DiskLog();
  DiskLog(const DiskLog&) = delete;
  DiskLog& operator=(const DiskLog&) = delete;

  /// Adds a record; it lasts once Sync() has returned.
  void Append(std::string_view aPayload);
  /// Writes and syncs what was added. After a failure the log refuses all
  /// further use, since the state of the file is unknown.
  void Sync();
  /// Replaces the whole file by the records that aFill adds, in one step.
  void Rewrite(const std::function<void(DiskLog&)>& aFill);

  std::size_t Bytes() const { return mBytes; }

 private:
  void Replay(const std::function<void(std::string_view)>& aRecord);
  void OpenForAppend();
  void CheckUsable() const;

  std::string mPath;
  std::string mPending;
  std::size_t mBytes = 0;
  int mFd = -1;
  bool mFailed = false;
};

}  // namespace spindleweir
