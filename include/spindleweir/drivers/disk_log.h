/// An append-only file of checksummed records. Opening removes an incomplete
/// last record, as a crash during a write leaves it; other damage is an error.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace spindleweir {

/// One log file. Record: 4 bytes length, 4 bytes checksum of the length,
/// 8 bytes xxHash64 of the payload, payload; numbers little-endian.
class DiskLog {
 public:
  /// Opens or creates the file and calls aRecord with each record, oldest
  /// first; then all of them are durable. Needs free space of the file's size.
  /// Throws kDataCorrupt or kStorageFailed.
  DiskLog(std::string aPath,
          const std::function<void(std::string_view)>& aRecord);
  ~DiskLog();
  DiskLog(const DiskLog&) = delete;
  DiskLog& operator=(const DiskLog&) = delete;

  /// Throws kDataCorrupt if the file is damaged; writes nothing.
  static void Check(const std::string& aPath);

  /// Adds a record; it is durable after Sync() has returned.
  void Append(std::string_view aPayload);
  /// Writes and syncs the added records. After a failure all methods but
  /// Rewrite() throw kStorageFailed, since the state of the file is unknown.
  void Sync();
  /// Atomically replaces the file by the records that aFill adds. A log that
  /// had failed can be used again afterwards.
  void Rewrite(const std::function<void(DiskLog&)>& aFill);

  std::size_t Bytes() const { return mBytes; }

 private:
  void OpenForAppend();
  /// Throws kStorageFailed with the error that errno names.
  [[noreturn]] void Fail();
  void CheckUsable() const;

  std::string mPath;
  std::string mPending;
  std::size_t mBytes = 0;
  int mFd = -1;
  bool mFailed = false;
};

}  // namespace spindleweir
